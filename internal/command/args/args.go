// Package args parses the arguments of a program into a struct, and holds the exit codes that all
// programs share.
//
// # Usage
//
//	parser, code := args.Parse("cicadasidecar", os.Args[1:], &options, os.Stdout, os.Stderr)
//	if parser == nil {
//		return code
//	}
package args

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	Done   = 0
	Failed = 1
	Usage  = 2 // the arguments are invalid
)

// Parse parses the arguments of a program into dest. If the program is to exit, because it was
// asked for help or its arguments are invalid, it writes the text and returns no parser and the
// exit code.
func Parse(program string, arguments []string, dest any, out, errOut io.Writer) (parser *arg.Parser, code int) {
	parser, err := arg.NewParser(arg.Config{Program: program, Out: errOut}, dest)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return nil, Failed
	}
	switch err := parser.Parse(arguments); {
	case err == arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...) // the names come from the parser, so it knows them
		return nil, Done
	case err != nil:
		fmt.Fprintf(errOut, "%s: %v\nuse %s --help\n", program, err, program)
		return nil, Usage
	}
	return parser, Done
}
