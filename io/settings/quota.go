package settings

import (
	"time"

	"parsleyport/core/quota"
)

// Lowest and highest values of the settings of quotas. A window is at least as long as two exchanges of units, which nodes make about
// once a second.
const (
	minQuotaWindowMS = 2_000
	maxQuotaWindowMS = 60_000
	maxQuotaSlack    = 1_000_000
)

// readQuota reads the optional settings of quotas, which must be the same at all nodes and control instances.
func readQuota(top *object) quota.Settings {
	defaults := quota.DefaultSettings()
	value, exists := top.take("quota")
	if !exists {
		return defaults
	}
	o, ok := top.reader.object(element{
		path:  top.keyPath("quota"),
		line:  top.lineOf("quota"),
		value: value,
	})
	if !ok {
		return quota.Settings{}
	}
	read := quota.Settings{
		Window:    time.Duration(o.integer("window-ms", minQuotaWindowMS, maxQuotaWindowMS, int(defaults.Window.Milliseconds()))) * time.Millisecond,
		Overshoot: float64(o.integer("overshoot-per-mille", 0, 1000, int(defaults.Overshoot*1000))) / 1000,
		Slack:     float64(o.integer("slack", 0, maxQuotaSlack, int(defaults.Slack))),
	}
	o.rejectUnknownKeys()
	return read
}
