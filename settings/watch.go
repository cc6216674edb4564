package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/logs"
)

// watchInterval is the interval at which a settings file is checked for changes, which
// may come without a signal.
const watchInterval = time.Second

// Watch calls apply with the contents of the file whenever they have changed, until ctx
// is done. It checks at intervals and at each signal; content is what the file held
// before. If apply fails, the earlier settings stay in force.
func Watch(ctx context.Context, file string, content []byte, signals <-chan os.Signal, log *logs.Logger, apply func([]byte) error) {
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
			err = apply(b)
		}
		if err != nil {
			log.Warn(catkinrail.At(err, "read settings", file)).Msg("settings not reloaded")
			continue
		}
		log.Info().Str("file", file).Msg("settings reloaded")
	}
}
