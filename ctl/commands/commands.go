// Package commands implements the commands of catkinctl, one file each.
package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail/ctl/control"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command failed; nothing was changed.
	ExitFailed = 1
	// ExitInvalid means that an argument is invalid; nothing was changed.
	ExitInvalid = 2
	// ExitConflict means that the change conflicts with the state or with an earlier
	// request: the state has another version than expected, the name exists, the
	// address is in quarantine, or the request identifier was used for another change.
	// Nothing was changed.
	ExitConflict = 3
	// ExitUnknown means that the call got no definite answer; a change may have run.
	ExitUnknown = 4
)

const defaultTimeout = 10 * time.Second

// App is the command line of catkinctl.
type App struct {
	out, errOut io.Writer
	kingpin     *kingpin.Application
	addrs       []string
	timeout     time.Duration
	output      string
	tls         rpc.TLSSettings
	handlers    map[string]func(context.Context) error
	client      *control.Client
}

// command registers a command with the app.
type command func(*App)

// allCommands lists the commands in the order of the help text.
var allCommands = []command{
	serviceCreate, serviceChange, serviceDelete, serviceList, serviceShow,
	backendList, backendDrain, backendReadmit,
	instanceList, instanceRemove,
	zoneLost, zoneRestored, zoneEvacuate, zoneReturn,
	status, directory, watch, outcome, burnReport, checkSettings, explainFlow, logReport,
}

// offline names the commands that need no control instance.
var offline = map[string]bool{"check": true, "explain": true, "report": true}

// New returns an app with all commands, which writes to out and errOut.
func New(out, errOut io.Writer) *App {
	a := &App{out: out, errOut: errOut, handlers: map[string]func(context.Context) error{}}
	a.kingpin = kingpin.New("catkinctl", "Operates a catkinrail load balancer.\n\n"+
		"Exit codes: 0 done, 1 failed and nothing changed, 2 an argument is invalid and nothing changed, "+
		"3 conflict and nothing changed, 4 outcome unknown: check with 'catkinctl outcome' or retry with the same --request.")
	a.kingpin.UsageWriter(out).ErrorWriter(errOut)
	a.kingpin.Flag("control", "Address of a control instance; repeat the flag for each.").Short('c').
		Envar("CATKINCTL_CONTROL").Default("127.0.0.1:7100").StringsVar(&a.addrs)
	a.kingpin.Flag("timeout", "Time after which to give up a call.").Default(defaultTimeout.String()).DurationVar(&a.timeout)
	a.kingpin.Flag("output", "Output format.").Short('o').Default("text").EnumVar(&a.output, "text", "json")
	a.kingpin.Flag("ca", "File of the certificate authority's certificate.").Envar("CATKINCTL_CA").StringVar(&a.tls.CA)
	a.kingpin.Flag("certificate", "File of the operator's certificate.").Envar("CATKINCTL_CERTIFICATE").StringVar(&a.tls.Certificate)
	a.kingpin.Flag("key", "File of the operator's key.").Envar("CATKINCTL_KEY").StringVar(&a.tls.Key)
	a.kingpin.Flag("insecure", "Use no TLS; for trials on loopback only.").Envar("CATKINCTL_INSECURE").BoolVar(&a.tls.Insecure)
	a.kingpin.Flag("trusted-network", "Use no TLS; only for a network that keeps others out.").
		Envar("CATKINCTL_TRUSTED_NETWORK").BoolVar(&a.tls.TrustedNetwork)
	for _, register := range allCommands {
		register(a)
	}
	return a
}

// handle sets the function that runs a command.
func (a *App) handle(c *kingpin.CmdClause, run func(context.Context) error) {
	a.handlers[c.FullCommand()] = run
}

// group returns the clause of a group of commands. It adds the clause on first use.
func (a *App) group(name, help string) *kingpin.CmdClause {
	if c := a.kingpin.GetCommand(name); c != nil {
		return c
	}
	return a.kingpin.Command(name, help)
}

// Run runs the command that the arguments name and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	name, err := a.kingpin.Parse(args)
	if err != nil {
		fmt.Fprintf(a.errOut, "catkinctl: %v\n", err)
		return ExitInvalid
	}
	if !offline[name] {
		if err := a.connect(); err != nil {
			fmt.Fprintf(a.errOut, "catkinctl: %v\n", err)
			return ExitInvalid
		}
	}
	if err := a.handlers[name](ctx); err != nil {
		fmt.Fprintf(a.errOut, "catkinctl: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

func (a *App) connect() error {
	if errs := a.tls.Validate(); len(errs) > 0 {
		return fmt.Errorf("--%s %s", errs[0].Field, errs[0].Reason)
	}
	creds, err := rpc.NewCredentials(a.tls)
	if err != nil {
		return err
	}
	a.client = control.New(a.addrs, creds, a.timeout)
	return nil
}

// errInvalid marks an invalid argument.
var errInvalid = errors.New("invalid argument")

func exitCode(err error) int {
	if errors.Is(err, control.ErrUnknown) {
		return ExitUnknown
	}
	if errors.Is(err, errInvalid) {
		return ExitInvalid
	}
	switch api.Code(drpcerr.Code(err)) {
	case api.Code_INVALID, api.Code_IMMUTABLE:
		return ExitInvalid
	case api.Code_CONFLICT, api.Code_EXISTS, api.Code_QUARANTINE:
		return ExitConflict
	case api.Code_UNKNOWN:
		return ExitUnknown
	}
	return ExitFailed
}

// print writes a reply in the output format: as JSON, or by the function text.
func (a *App) print(m proto.Message, text func(io.Writer)) error {
	if a.output == "json" {
		b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		return a.printJSON(json.RawMessage(b))
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func (a *App) printJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// changeFlags are the flags of the commands that change the state.
type changeFlags struct {
	request string
	expect  uint64
	dryRun  bool
}

func (f *changeFlags) register(c *kingpin.CmdClause) {
	c.Flag("request", "Identifier of the request; use the same one to retry a request.").StringVar(&f.request)
	c.Flag("expect", "Refuse the change unless the state has this version.").Uint64Var(&f.expect)
	c.Flag("dry-run", "Show what would change, without changing it.").BoolVar(&f.dryRun)
}

// requestBytes is the length of a random request identifier before encoding.
const requestBytes = 12

// newChange returns the identification of a change request, with a random identifier
// unless the operator gave one.
func (f *changeFlags) newChange() (*api.Change, error) {
	if f.request == "" {
		b := make([]byte, requestBytes)
		if _, err := rand.Read(b); err != nil {
			return nil, err
		}
		f.request = hex.EncodeToString(b)
	}
	return &api.Change{Request: f.request, Expect: f.expect, DryRun: f.dryRun}, nil
}

// runChange sends a change, with retries, and prints the reply.
func (a *App) runChange(ctx context.Context, step string, f *changeFlags,
	send func(context.Context, api.DRPCOperatorClient, *api.Change) (*api.ChangeReply, error),
) error {
	change, err := f.newChange()
	if err != nil {
		return err
	}
	var reply *api.ChangeReply
	err = a.client.Call(ctx, step, func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
		reply, err = send(ctx, c, change)
		return err
	})
	if errors.Is(err, control.ErrUnknown) {
		return fmt.Errorf("%w; check with: catkinctl outcome %s", err, change.Request)
	}
	if err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) {
		if f.dryRun {
			fmt.Fprintf(w, "would change at version %d: %s\n", reply.GetVersion(), reply.GetDetail())
			return
		}
		fmt.Fprintf(w, "%s (version %d, request %s)\n", reply.GetDetail(), reply.GetVersion(), change.GetRequest())
	})
}
