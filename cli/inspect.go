package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cicadanotch/cicadanotch/node"
)

func (t *tool) addressesCommand() *ffcli.Command {
	flags := t.flags("addresses")
	entry := flags.String("entry", "", "`ip:port` at which any entry host serves callers (required)")
	service := flags.String("service", "", "service to call")
	workspace := flags.String("workspace", "", "workspace of the caller")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "addresses",
		ShortUsage: "cicadanotch addresses --entry IP:PORT [--service S] [--workspace W] [--json]",
		ShortHelp:  "Ask which entry hosts a caller should use, nearest first.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := required("entry", *entry); err != nil {
				return err
			}
			q := url.Values{"service": {*service}, "workspace": {*workspace}}
			var list node.AddressList
			if err := t.get(ctx, "http://"+*entry+"/v1/addresses?"+q.Encode(), &list); err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(list)
			}
			for _, a := range list.Addresses {
				fmt.Fprintf(t.stdout, "%-22s %-16s %-12s %s\n", a.Address, a.Host, a.Zone, a.Region)
			}
			return nil
		},
	}
}

func (t *tool) dumpCommand() *ffcli.Command {
	flags := t.flags("dump")
	operator := flags.String("operator", "", "`ip:port` at which the process serves operators (required)")
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: "cicadanotch dump --operator IP:PORT",
		ShortHelp:  "Print the state of one process as JSON.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := required("operator", *operator); err != nil {
				return err
			}
			var state json.RawMessage
			if err := t.get(ctx, "http://"+*operator+"/debug/state", &state); err != nil {
				return err
			}
			return t.printJSON(state)
		},
	}
}
