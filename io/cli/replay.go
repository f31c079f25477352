package cli

import (
	"path/filepath"

	"github.com/juju/errors"

	"parsleyport/core/callreplay"
	"parsleyport/core/replay"
)

// callTraceExtension is the file extension of recorded calls; all other files are recorded moves.
const callTraceExtension = ".calls"

// replay returns StatusRefused if a trace leads to another outcome than it states, and StatusUsage if a trace cannot be read.
func (p *program) replay(o options) int {
	status := StatusOK
	for _, file := range o.files {
		run := replay.Run
		if filepath.Ext(file) == callTraceExtension {
			run = callreplay.RunFile
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
