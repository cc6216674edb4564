package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the daemons. ExitSettings means that the settings could not be loaded.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Source loads a daemon's settings.
type Source struct {
	// Platform loads the settings from the platform's settings file.
	Platform func() error
}

// Program parses a daemon's command line and loads the settings: from the given file
// into cfg, or from the platform. It returns false and the exit code if the daemon must
// not run, because the settings are invalid or were only to be checked.
func (s *Source) Program(app *kingpin.Application, args []string, cfg Section) (run bool, code int) {
	file := app.Flag("settings", "Settings file.").Short('s').String()
	onPlatform := app.Flag("platform", "Read the settings from the platform's settings file.").Bool()
	check := app.Flag("check", "Check the settings and exit.").Bool()
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
		fmt.Println("settings are valid")
		return false, ExitOK
	}
	return true, ExitOK
}

// errSource reports a command line that names no source of settings, or both.
var errSource = errors.New("exactly one of --settings and --platform is required")
