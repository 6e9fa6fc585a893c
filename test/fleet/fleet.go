// Package fleet starts a small fleet of real processes on loopback: stand-ins,
// entries and sidecars. Tests, the quick start and the benchmark use it.
//
// Each VM has its own IP address in 127.0.0.0/8, so that fleets running
// concurrently do not collide.
package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/test/faultproxy"
)

// The ports of a VM's address.
const (
	portPlatform  = 7000
	portLinks     = 7100
	portOperators = 7200
	portCallers   = 8080
	portBackend   = 9000
)

// Engine is one model engine of the fleet.
type Engine struct {
	Role    string
	Model   string
	Fencing bool
	// Args are additional arguments of the stand-in.
	Args []string
}

// Options configures a fleet.
type Options struct {
	// Bin is the directory of the programs. Settings and logs are written to Dir.
	Bin string
	Dir string
	// Region and DataCentres default to one region with four data centres. VMs
	// are distributed over the data centres round-robin.
	Region      string
	DataCentres []string
	Entries     int
	Engines     []Engine
	// Services is the number of backend servers by name of the plain service.
	Services map[string]int
	// ServiceArgs are additional arguments of the plain services' stand-in.
	ServiceArgs []string
	// SharedBackends runs one backend process per service for all its sidecars,
	// for runs with many sidecars and little work.
	SharedBackends bool
	// Proxied puts a fault proxy in front of each VM's link address and of the
	// platform.
	Proxied bool
	// ModifySettings modifies the settings of each daemon before they are written.
	ModifySettings func(*settings.Settings)
}

// Fleet is a running fleet.
type Fleet struct {
	options   Options
	Processes map[string]*Process
	// Proxies are the fault proxies by the name of the VM behind them; the
	// platform's is under "platform".
	Proxies map[string]*faultproxy.Proxy
	VMs     []sharedstate.VM
	Entries []string
	// Engines and Services are the names of the backend servers in start order.
	Engines  []string
	Services map[string][]string

	// subnet is the first three octets of the fleet's addresses.
	subnet         string
	nextIP         int
	ips            map[string]string
	sharedBackends map[string]string
	started        []*Process
}

// Token is the operator token of every fleet.
const Token = "loopback-operator-token"

// fleets counts the fleets started by this process.
var fleets atomic.Uint32

// Start starts a fleet and waits until all its processes are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		options:        withDefaults(o),
		Processes:      map[string]*Process{},
		Proxies:        map[string]*faultproxy.Proxy{},
		Services:       map[string][]string{},
		ips:            map[string]string{},
		sharedBackends: map[string]string{},
		subnet:         subnet(os.Getpid(), int(fleets.Add(1))),
	}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Run starts a fleet, runs f on it and stops it. Settings and logs are written
// to a temporary directory that is removed at the end.
func Run(o Options, f func(context.Context, *Fleet) error) error {
	ctx := context.Background()
	dir, err := os.MkdirTemp("", "pistachioroad-")
	if err != nil {
		return eris.Wrap(err, "create directory for settings and logs")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.Dir = dir
	fl, err := Start(ctx, o)
	if err != nil {
		return err
	}
	defer fl.Stop()
	return f(ctx, fl)
}

func withDefaults(o Options) Options {
	if o.Region == "" {
		o.Region = "seoul"
		o.DataCentres = []string{"gangnam", "mapo", "jongno", "seongsu"}
	}
	return o
}

// subnet derives the first three octets of a fleet's addresses from the process
// id and the number of the fleet.
func subnet(pid, fleet int) string {
	const firstOctet, octets = 16, 200
	n := pid*7 + fleet
	return fmt.Sprintf("127.%d.%d", firstOctet+n/250%octets, n%250)
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.WriteFile(f.tokenFile(), []byte(Token+"\n"), 0o600); err != nil {
		return eris.Wrap(err, "write operator token file")
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startBackends(ctx); err != nil {
		return err
	}
	for i := range f.options.Entries {
		if err := f.addEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return err
		}
	}
	if err := f.PublishVMs(ctx); err != nil {
		return err
	}
	return f.startDaemons(ctx)
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	daemons := []*Process{}
	for _, vm := range f.VMs {
		p := f.Processes[vm.Name]
		if err := f.startProcess(p); err != nil {
			return err
		}
		daemons = append(daemons, p)
	}
	for _, p := range daemons {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address := f.address(f.allocateIP(platformName), portPlatform)
	p := f.addProcess(platformName, "standin", "http://"+address+"/standin/calls",
		"-kind", "platform", "-address", address)
	if err := f.startProcess(p); err != nil {
		return err
	}
	if err := f.addProxy(platformName, portPlatform, address); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

func (f *Fleet) startBackends(ctx context.Context) error {
	for i, e := range f.options.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		args := append([]string{"-kind", "engine", "-model", e.Model, "-role", e.Role, fmt.Sprintf("-fencing=%v", e.Fencing)}, e.Args...)
		if err := f.addBackend(ctx, name, sharedstate.ServiceModels, "/state", e.Fencing, args); err != nil {
			return err
		}
		f.Engines = append(f.Engines, name)
	}
	for service, count := range f.options.Services {
		for i := range count {
			name := fmt.Sprintf("%s-%d", service, i+1)
			args := append([]string{"-kind", "service"}, f.options.ServiceArgs...)
			if err := f.addBackend(ctx, name, service, "/standin/runs", false, args); err != nil {
				return err
			}
			f.Services[service] = append(f.Services[service], name)
		}
	}
	return nil
}

// addBackend starts a backend server and adds its sidecar, which is started later.
func (f *Fleet) addBackend(ctx context.Context, name, service, ready string, fencing bool, args []string) error {
	ip := f.allocateIP(name)
	address, err := f.startBackend(ctx, name, service, ready, args)
	if err != nil {
		return err
	}
	vm := f.newVM(name, ip, sharedstate.VMBackend, service)
	s := f.baseSettings(vm, ip)
	s.Sidecar = &settings.Sidecar{BackendServer: settings.BackendServer{
		Service:            service,
		Address:            address,
		ChecksFencingToken: fencing,
		OrderTimeout:       2 * time.Second,
	}}
	return f.addDaemon(vm, s)
}

// startBackend starts the backend server of a VM and returns its address. With
// SharedBackends it starts only the first one of a service and returns the
// address of that one for the others.
func (f *Fleet) startBackend(ctx context.Context, name, service, ready string, args []string) (string, error) {
	if address, ok := f.sharedBackends[service]; ok {
		return address, nil
	}
	address := f.address(f.ips[name], portBackend)
	backend := f.addProcess(BackendProcess(name), "standin", "http://"+address+ready, append(args, "-address", address)...)
	if err := f.startProcess(backend); err != nil {
		return "", err
	}
	if f.options.SharedBackends {
		f.sharedBackends[service] = address
	}
	return address, backend.WaitReady(ctx)
}

func (f *Fleet) addEntry(name string) error {
	ip := f.allocateIP(name)
	vm := f.newVM(name, ip, sharedstate.VMEntry, "")
	s := f.baseSettings(vm, ip)
	s.Listen.Callers = f.address(ip, portCallers)
	s.Entry = &settings.Entry{
		Models:      f.models(),
		Services:    map[string]settings.Service{},
		BalancerLag: 200 * time.Millisecond,
	}
	for service := range f.options.Services {
		s.Entry.Services[service] = settings.Service{Deadline: 5 * time.Second, Class: "interactive", Slots: 16}
	}
	f.Entries = append(f.Entries, name)
	return f.addDaemon(vm, s)
}

func (f *Fleet) models() []string {
	models := []string{}
	for _, e := range f.options.Engines {
		models = append(models, e.Model)
	}
	return lo.Uniq(models)
}

// newVM returns the VM list item of a new VM of the fleet.
func (f *Fleet) newVM(name, ip string, kind sharedstate.VMKind, service string) sharedstate.VM {
	return sharedstate.VM{
		Name:            name,
		Kind:            kind,
		Region:          f.options.Region,
		DataCentre:      f.options.DataCentres[len(f.VMs)%len(f.options.DataCentres)],
		LinkAddress:     f.address(ip, portLinks),
		OperatorAddress: f.address(ip, portOperators),
		Service:         service,
	}
}

func (f *Fleet) baseSettings(vm sharedstate.VM, ip string) settings.Settings {
	role := settings.RoleSidecar
	if vm.Kind == sharedstate.VMEntry {
		role = settings.RoleEntry
	}
	return settings.Settings{
		Process: settings.Process{Name: vm.Name, Role: role, Region: vm.Region, DataCentre: vm.DataCentre},
		Log:     settings.Log{Format: "json", Level: "info"},
		Listen: settings.Listen{
			Links:             f.address(ip, portLinks),
			Operators:         f.address(ip, portOperators),
			OperatorTokenFile: f.tokenFile(),
		},
		Platform: settings.Platform{
			Address:        f.platformAddress(),
			CallsPerSecond: 50,
			VMListInterval: 300 * time.Millisecond,
		},
	}
}

// addDaemon writes the settings of a daemon and adds its process without
// starting it.
func (f *Fleet) addDaemon(vm sharedstate.VM, s settings.Settings) error {
	if f.options.Proxied {
		if err := f.addProxy(vm.Name, portLinks, vm.LinkAddress); err != nil {
			return err
		}
		vm.LinkAddress = f.proxyAddress(vm.Name)
	}
	if f.options.ModifySettings != nil {
		f.options.ModifySettings(&s)
	}
	data, err := yaml.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings of "+vm.Name)
	}
	path := filepath.Join(f.options.Dir, vm.Name+".yaml")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return eris.Wrap(err, "write settings of "+vm.Name)
	}
	f.VMs = append(f.VMs, vm)
	f.addProcess(vm.Name, "pistachioroadd", "http://"+vm.OperatorAddress+"/readyz", "-settings", path)
	return nil
}

func (f *Fleet) addProcess(name, program, ready string, args ...string) *Process {
	p := &Process{
		Name:     name,
		program:  filepath.Join(f.options.Bin, program),
		args:     args,
		dir:      f.options.Dir,
		readyURL: ready,
	}
	f.Processes[name] = p
	return p
}

func (f *Fleet) startProcess(p *Process) error {
	f.started = append(f.started, p)
	return p.start()
}

// addProxy puts a fault proxy in front of a process if Proxied is set.
func (f *Fleet) addProxy(name string, port int, target string) error {
	if !f.options.Proxied {
		return nil
	}
	p, err := faultproxy.Listen(f.address(f.allocateIP("proxy of "+name), port), target)
	if err != nil {
		return err
	}
	f.Proxies[name] = p
	return nil
}

func (f *Fleet) proxyAddress(name string) string { return f.Proxies[name].Address() }

func (f *Fleet) platformAddress() string {
	if f.options.Proxied {
		return f.proxyAddress(platformName)
	}
	return f.address(f.ips[platformName], portPlatform)
}

// Stop kills all processes of the fleet and closes its proxies.
func (f *Fleet) Stop() {
	for _, p := range f.started {
		if p.cmd != nil {
			p.Resume()
			p.Kill()
		}
	}
	for _, p := range f.Proxies {
		p.Close()
	}
}

// BackendProcess returns the process name of the backend server on a VM. The
// sidecar's process is named after the VM itself.
func BackendProcess(vm string) string { return vm + "-backend" }

// platformName is the name of the platform's process and of its proxy.
const platformName = "platform"

// allocateIP assigns the next IP address of the fleet to name.
func (f *Fleet) allocateIP(name string) string {
	f.nextIP++
	f.ips[name] = fmt.Sprintf("%s.%d", f.subnet, f.nextIP)
	return f.ips[name]
}

func (f *Fleet) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (f *Fleet) tokenFile() string { return filepath.Join(f.options.Dir, "operator.token") }
