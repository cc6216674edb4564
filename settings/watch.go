package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/logs"
)

// watchInterval is the time between two looks at a settings file that may change
// without a signal.
const watchInterval = time.Second

// Watch calls take with the contents of the file whenever they have changed,
// which it looks for at intervals and at each signal, until ctx ends. If take
// fails, what was in force stays.
func Watch(ctx context.Context, file string, content []byte, signals <-chan os.Signal, log *logs.Logger, take func([]byte) error) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-signals:
		}
		b, err := os.ReadFile(file)
		if err == nil && bytes.Equal(b, content) {
			continue
		}
		if err == nil {
			content = b
			err = take(b)
		}
		if err != nil {
			log.Warn(catkinrail.At(err, "read settings", file)).Msg("settings not reloaded")
			continue
		}
		log.Info().Str("file", file).Msg("settings reloaded")
	}
}
