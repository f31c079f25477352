package loglimit

import (
	"time"

	"github.com/rs/zerolog"
)

// timeFormat includes milliseconds, since most calls begin and end within one second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// WithTime returns a logger that adds the current UTC time to each line.
func WithTime(log zerolog.Logger) zerolog.Logger {
	return log.Hook(zerolog.HookFunc(func(event *zerolog.Event, _ zerolog.Level, _ string) {
		event.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
	}))
}
