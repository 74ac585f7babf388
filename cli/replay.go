package cli

import (
	"github.com/peterbourgon/ff/v3/ffcli"
)

// replayName is the command whose arguments package replay parses.
const replayName = "replay"

// replayCommand exists for the list of commands in the help text; Main calls package
// replay directly.
func (t *tool) replayCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       replayName,
		ShortUsage: "cicadanotch replay [--policy NAME|all] [--seed N] TRACE...",
		ShortHelp:  "Replay recorded traces through the decision code and check the stated outcomes.",
	}
}
