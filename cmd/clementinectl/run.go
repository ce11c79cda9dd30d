package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

const description = `Operates a clementineflow region through any of its entries.

Exit codes: 0 ok, 1 error, 2 usage or faulty file, 3 not found, 4 conflict, 5 unavailable (no effect),
6 outcome unknown (repeat with the same --request-id), 7 wait timed out (the change was accepted).`

// parserExit carries the exit code of a run that ends in the parser, such as --help.
type parserExit int

// run executes one command line and returns the exit code.
func run(ctx context.Context, arguments []string, output, messages io.Writer) (code int) {
	defer func() {
		cause := recover()
		if exit, ok := cause.(parserExit); ok {
			code = int(exit)
		} else if cause != nil {
			panic(cause)
		}
	}()
	var line commandLine
	parser, err := newParser(&line, output, messages)
	if err != nil {
		return report(messages, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return report(messages, &exitError{code: exitUsage, cause: err})
	}
	session := &session{flags: line.connectionFlags, format: line.Output, output: output, messages: messages}
	defer session.close()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return report(messages, parsed.Run(session, parser.Model))
}

func newParser(line *commandLine, output, messages io.Writer) (*kong.Kong, error) {
	return kong.New(line, kong.Name("clementinectl"), kong.Description(description),
		kong.Writers(output, messages), kong.Exit(func(code int) { panic(parserExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}

// report prints the error, with what the operator can do next, and returns the exit code.
func report(messages io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(messages, "clementinectl: %s\n", message(err))
	var failed *changeError
	if errors.As(err, &failed) {
		_, _ = fmt.Fprintf(messages, "clementinectl: to repeat this call safely, add --request-id %s\n", failed.requestID)
	}
	return exitCode(err)
}
