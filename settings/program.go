package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Source is where a daemon's settings come from.
type Source struct {
	// Platform fills the settings from what the platform gives.
	Platform func() error
}

// Program parses a daemon's command line and loads the settings that it names
// into cfg, or those of the platform. If the daemon is not to run, because the
// settings are wrong or only to be checked, it returns false and the exit code.
func (s *Source) Program(app *kingpin.Application, args []string, cfg Section) (run bool, code int) {
	file := app.Flag("settings", "Settings file.").Short('s').String()
	onPlatform := app.Flag("platform", "Take the settings from the platform's settings file.").Bool()
	check := app.Flag("check", "Check the settings and end.").Bool()
	kingpin.MustParse(app.Parse(args))
	var err error
	switch {
	case *onPlatform == (*file != ""):
		err = errSource
	case *onPlatform:
		err = s.Platform()
	default:
		err = Load(*file, cfg)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false, ExitSettings
	}
	if *check {
		fmt.Println("settings are right")
		return false, ExitOK
	}
	return true, ExitOK
}

// errSource reports a command line that names no or two sources of settings.
var errSource = errors.New("give either --settings or --platform")
