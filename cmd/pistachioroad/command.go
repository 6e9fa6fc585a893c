package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/operator"
)

const defaultTimeout = 15 * time.Second

// command is one subcommand.
type command struct {
	// name consists of one or two words.
	name    string
	args    string
	summary string
	// details and example are shown by -h.
	details string
	example string
	// flags defines the flags that are specific to this command; may be nil.
	flags func(*flag.FlagSet, *options)
	run   func(ctx context.Context, a *app, args []string) error
	// offline is set if the command calls no entry.
	offline bool
}

// prefix returns the beginning of the command line.
func (c command) prefix(entry, tokenFile string) string {
	if c.offline {
		return "pistachioroad"
	}
	return "pistachioroad -entry " + entry + " -token-file " + tokenFile
}

// commands returns all subcommands in the order of the help.
func commands() []command {
	return []command{
		statusCommand(), defaultsGetCommand(), defaultsSetCommand(), exceptionAddCommand(),
		exceptionListCommand(), exceptionRemoveCommand(), drainCommand(), undrainCommand(),
		historyCommand(), dumpCommand(), explainCommand(), checkConfigCommand(),
	}
}

// options are the values of all flags.
type options struct {
	entries   addressList
	tokenFile string
	json      bool
	timeout   time.Duration

	author  string
	version uint64
	reason  string
	expires string
	scope   scopeFlags

	inForce string
	strict  bool
}

type scopeFlags struct {
	service, model, dataCentre, backendServer string
}

// addressList is the value of a flag that may be given several times.
type addressList []string

// String implements flag.Value.
func (l *addressList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value. It accepts an IP address with a port.
func (l *addressList) Set(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%q is not an IP number and a port, such as 10.1.0.5:7002", value)
	}
	*l = append(*l, value)
	return nil
}

// app is one execution of the program.
type app struct {
	stdout, stderr io.Writer
	options        options
	client         *client
}

func (a *app) run(ctx context.Context, args []string) error {
	words, err := a.parse(args, nil)
	if err != nil {
		return err
	}
	cmd, rest, err := findCommand(words)
	if err != nil {
		return err
	}
	// The arguments are parsed again, now with only the flags of this command.
	a.options = options{}
	words, err = a.parse(args, &cmd)
	if err != nil {
		return err
	}
	if !cmd.offline {
		if err := a.setUpClient(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.timeout)
	defer cancel()
	return cmd.run(ctx, a, words[len(words)-len(rest):])
}

// findCommand returns the command named by the first words, and the remaining words.
func findCommand(words []string) (command, []string, error) {
	for _, c := range commands() {
		name := strings.Fields(c.name)
		if len(words) >= len(name) && strings.Join(words[:len(name)], " ") == c.name {
			return c, words[len(name):], nil
		}
	}
	if len(words) == 0 {
		return command{}, nil, usageError("a command is missing")
	}
	return command{}, nil, usageError("there is no command %q", strings.Join(words, " "))
}

// parse parses the flags, which may be before, between and after the other words, and
// returns the other words. With a nil cmd it accepts the flags of all commands, so that
// the command's name can be found among the words.
func (a *app) parse(args []string, cmd *command) ([]string, error) {
	set := flag.NewFlagSet("pistachioroad", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.Usage = func() {}
	a.commonFlags(set)
	if cmd != nil && cmd.flags != nil {
		cmd.flags(set, &a.options)
	}
	if cmd == nil {
		allFlags(set, &a.options)
	}
	words := []string{}
	for {
		err := set.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			a.help(words)
			return nil, err
		}
		if err != nil {
			return nil, usageError("%v", err)
		}
		if set.NArg() == 0 {
			return words, nil
		}
		words = append(words, set.Arg(0))
		args = set.Args()[1:]
	}
}

func (a *app) commonFlags(set *flag.FlagSet) {
	o := &a.options
	set.Var(&o.entries, "entry", "operators' `address` of an entry, IP:PORT; may be given several times: the next is tried when one cannot be reached")
	set.StringVar(&o.tokenFile, "token-file", "", "`file` with the operator token")
	set.BoolVar(&o.json, "json", false, "print JSON for programs")
	set.DurationVar(&o.timeout, "timeout", defaultTimeout, "time for the whole command")
}

func editFlags(set *flag.FlagSet, o *options) {
	set.StringVar(&o.author, "author", os.Getenv("USER"), "who edits")
	set.Uint64Var(&o.version, "version", 0, "`version` that the edit is made on; default: the current one")
}

func reasonFlag(set *flag.FlagSet, o *options) {
	set.StringVar(&o.reason, "reason", "", "why (required)")
}

func scopeFlagSet(set *flag.FlagSet, o *options) {
	set.StringVar(&o.scope.service, "service", "", "scope: a service, or models")
	set.StringVar(&o.scope.model, "model", "", "scope: a model")
	set.StringVar(&o.scope.dataCentre, "data-centre", "", "scope: a data centre")
	set.StringVar(&o.scope.backendServer, "backend-server", "", "scope: a backend server")
	set.StringVar(&o.expires, "expires", "", "when the exception ends by itself: a `time` such as 2026-11-02T18:00:00Z, or a duration such as 4h")
}

func allFlags(set *flag.FlagSet, o *options) {
	editFlags(set, o)
	reasonFlag(set, o)
	scopeFlagSet(set, o)
	checkConfigFlags(set, o)
}

func (a *app) setUpClient() error {
	if len(a.options.entries) == 0 {
		return usageError("-entry is missing")
	}
	if a.options.tokenFile == "" {
		return usageError("-token-file is missing")
	}
	token, err := operator.ReadToken(a.options.tokenFile)
	if err != nil {
		return err
	}
	a.client = newClient(a.options.entries, token)
	return nil
}

// help prints the help of the command named by words, or else of the program.
func (a *app) help(words []string) {
	cmd, _, err := findCommand(words)
	if err != nil {
		a.helpAll()
		return
	}
	w := a.stdout
	fmt.Fprintf(w, "usage: %s %s\n\n%s.\n", cmd.prefix("IP:PORT", "FILE"),
		strings.TrimSpace(cmd.name+" "+cmd.args), cmd.summary)
	if cmd.details != "" {
		fmt.Fprintf(w, "\n%s\n", cmd.details)
	}
	fmt.Fprintf(w, "\nexample:\n  %s %s\n\nflags:\n", cmd.prefix("10.20.1.10:7002", "token"), cmd.example)
	set := flag.NewFlagSet("", flag.ContinueOnError)
	set.SetOutput(w)
	a.commonFlags(set)
	if cmd.flags != nil {
		cmd.flags(set, &a.options)
	}
	set.PrintDefaults()
}

func (a *app) helpAll() {
	w := a.stdout
	fmt.Fprint(w, "usage: pistachioroad -entry IP:PORT -token-file FILE COMMAND ...\n\ncommands:\n")
	table := newTable(w)
	for _, c := range commands() {
		table.row("  "+strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	table.flush()
	fmt.Fprint(w, `
Flags may stand anywhere. "pistachioroad COMMAND -h" shows those of a command.

exit status:
  0  done
  1  failed; nothing was changed
  2  wrong command line
  3  another edit came first; nothing was changed, both values are shown
  4  the outcome of the edit is unknown; read "config history" back
  5  the platform's store cannot be reached; nothing was changed
  6  check-config has findings
`)
}

// requireArgs returns a usage error unless there is one argument for each name.
func requireArgs(args []string, names ...string) error {
	if len(args) == len(names) {
		return nil
	}
	if len(names) == 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return usageError("expected %s", strings.Join(lo.Map(names, func(n string, _ int) string { return "one " + n }), " and "))
}
