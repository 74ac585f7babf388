package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
)

// stdinName as the file name means standard input.
const stdinName = "-"

// readDocument reads and parses the document in a file or from standard input.
func readDocument(path string) ([]byte, *config.Document, error) {
	read := os.ReadFile
	if path == stdinName {
		read = func(string) ([]byte, error) { return io.ReadAll(os.Stdin) }
	}
	text, err := read(path)
	if err != nil {
		return nil, nil, errors.Wrap(ErrUsage, err.Error())
	}
	doc, err := config.ParseDocument(text)
	return text, doc, errors.Wrap(err, path)
}

func (t *tool) validateCommand() *ffcli.Command {
	flags := t.flags("validate")
	asJSON := flags.Bool("json", false, "print the parsed document as JSON")
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "cicadanotch validate [--json] FILE",
		ShortHelp:  "Check a service document; FILE may be - for standard input.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			path, err := singleArgument(args, "document file")
			if err != nil {
				return err
			}
			_, doc, err := readDocument(path)
			if err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(doc)
			}
			_, err = fmt.Fprintf(t.stdout, "%s: a valid document of service %s\n", path, doc.Service)
			return err
		},
	}
}
