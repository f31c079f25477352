package cli

import (
	"io"
	"path/filepath"

	"github.com/juju/errors"

	"parsleyport/core/callreplay"
	"parsleyport/core/replay"
)

// runsByExtension holds the replays of recorded calls and of load patterns; all other files are recorded moves.
var runsByExtension = map[string]func(path string, out io.Writer) error{
	".calls":   callreplay.RunFile,
	".pattern": callreplay.RunPatternFile,
}

// replay returns StatusRefused if a trace leads to another outcome than it states, and StatusUsage if a trace cannot be read.
func (p *program) replay(o options) int {
	status := StatusOK
	for _, file := range o.files {
		run, exists := runsByExtension[filepath.Ext(file)]
		if !exists {
			run = replay.Run
		}
		switch err := run(file, p.stdout); {
		case errors.Is(err, replay.ErrOutcome), errors.Is(err, callreplay.ErrOutcome):
			status = max(status, p.fail(StatusRefused, err))
		case err != nil:
			return p.fail(StatusUsage, err)
		}
	}
	return status
}
