package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/emulator/capacity"
	"catkinrail.example/catkinrail/settings"
)

// capacityCommand prints the capacity table.
func capacityCommand(app *kingpin.Application) command {
	c := app.Command("capacity", "Print the capacity table, computed from measured slopes.")
	file := c.Flag("slopes", "File with the planned size, the slopes and the limits.").Default("docs/slopes.yaml").String()
	return command{clause: c, run: func(context.Context) error {
		var s capacity.Settings
		if err := settings.Load(*file, &s); err != nil {
			return err
		}
		s.Write(os.Stdout)
		return nil
	}}
}
