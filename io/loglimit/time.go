package loglimit

import (
	"time"

	"github.com/rs/zerolog"
)

// timeFormat has milliseconds, since most calls begin and end within one second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// WithTime returns a logger whose lines say when they were written, in UTC.
func WithTime(log zerolog.Logger) zerolog.Logger {
	return log.Hook(zerolog.HookFunc(func(event *zerolog.Event, _ zerolog.Level, _ string) {
		event.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeFormat))
	}))
}
