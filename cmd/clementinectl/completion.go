package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCommand prints a completion script.
type completionCommand struct {
	Shell string `arg:"" enum:"bash" default:"bash" help:"Shell: bash."`
}

// Help returns the examples.
func (c *completionCommand) Help() string {
	return "Example:\n  source <(clementinectl completion bash)"
}

// Run prints the script, generated from the command line's model.
func (c *completionCommand) Run(s *session, model *kong.Application) error {
	var cases strings.Builder
	writeCases(&cases, model.Node, "", model.Flags)
	_, err := fmt.Fprintf(s.output, completionScript, cases.String())
	return err
}

// writeCases writes one case for each command: its subcommands and flags.
func writeCases(output io.Writer, node *kong.Node, path string, inherited []*kong.Flag) {
	var words []string
	for _, child := range node.Children {
		if child.Type == kong.CommandNode {
			words = append(words, child.Name)
		}
	}
	flags := inherited
	if path != "" {
		flags = append(append([]*kong.Flag{}, inherited...), node.Flags...)
	}
	for _, flag := range flags {
		words = append(words, "--"+flag.Name)
	}
	_, _ = fmt.Fprintf(output, "    %q) words=%q ;;\n", path, strings.Join(words, " "))
	for _, child := range node.Children {
		if child.Type == kong.CommandNode {
			writeCases(output, child, strings.TrimSpace(path+" "+child.Name), flags)
		}
	}
}

// completionScript takes the cases. A word that is no subcommand of the path so far is a flag or an
// argument and is skipped.
const completionScript = `_clementinectl_words() {
  local words=""
  case "$1" in
%s    *) return 1 ;;
  esac
  printf '%%s' "$words"
}

_clementinectl() {
  local path="" word next
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    next="${path:+$path }$word"
    if _clementinectl_words "$next" >/dev/null; then path="$next"; fi
  done
  COMPREPLY=($(compgen -W "$(_clementinectl_words "$path")" -- "${COMP_WORDS[COMP_CWORD]}"))
}

complete -o default -F _clementinectl clementinectl
`
