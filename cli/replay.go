package cli

import (
	"github.com/peterbourgon/ff/v3/ffcli"
)

// replayName is the command that package replay parses by itself.
const replayName = "replay"

// replayCommand stands in the list of commands; Main hands the call on.
func (t *tool) replayCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       replayName,
		ShortUsage: "cicadanotch replay [--policy NAME|all] [--seed N] TRACE...",
		ShortHelp:  "Run recorded traces through the decisions and check their stated outcomes.",
	}
}
