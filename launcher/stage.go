// Package launcher runs a whole deployment of stand-ins and instances in one
// process on loopback, for the demo and for tests.
package launcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum"
	"wisteriadrum/booker"
	"wisteriadrum/cataloguer"
	"wisteriadrum/configurer"
	"wisteriadrum/director"
	"wisteriadrum/emulator"
	"wisteriadrum/grouper"
	"wisteriadrum/host"
	"wisteriadrum/inferrer"
	"wisteriadrum/modeler"
	"wisteriadrum/tenant"
	"wisteriadrum/worker"
)

// Options describe a deployment.
type Options struct {
	DataCentres []string
	// Instances and Engines are counted per data centre.
	Instances  int
	Engines    int
	Services   int // in all
	Workspaces int
	Engine     inferrer.Options
	Weigh      director.Objective
	// WrapListener, if set, wraps the listeners of engines and services.
	WrapListener func(name string, inner net.Listener) net.Listener
	// Homes is the setting of that name, 0 for the usual.
	Homes int
	// EditSet, if set, changes the set before it is published.
	EditSet func(*cataloguer.Config)
	Log     *zap.Logger
}

// Names of the objects that every stage has.
const (
	Model       = "lingua"
	BookingPath = "/book"
	StockPath   = "/stock"
)

const readyWithin = 15 * time.Second

// Deployment is a running deployment.
type Deployment struct {
	Platform  *emulator.Platform
	Engines   []*Engine
	Services  []*booker.Service
	Instances []*Node
	Set       *cataloguer.Config

	options  Options
	network  *network
	address  string // of the platform
	closing  []func()
	finished sync.WaitGroup
}

// Engine is an engine that can be crashed and started again at its address.
type Engine struct {
	*inferrer.Engine
	Name    string
	Address string
	options inferrer.Options
}

// Node is an instance with its addresses.
type Node struct {
	*wisteriadrum.Instance
	Settings *configurer.Settings
	stop     context.CancelFunc
	hurry    context.CancelFunc
	done     chan struct{}
}

// New starts a deployment and publishes its set.
func New(options Options) (*Deployment, error) {
	s := &Deployment{options: options, network: newNetwork(), Platform: emulator.New(time.Now)}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// WorkspaceKey returns the bearer key of a workspace.
func WorkspaceKey(workspace int) string { return fmt.Sprintf("key-%d", workspace) }

// CallerAddresses returns the callers' addresses of all instances.
func (s *Deployment) CallerAddresses() []string {
	var addresses []string
	for _, node := range s.Instances {
		addresses = append(addresses, node.Settings.CallerAddress)
	}
	return addresses
}

// RestartEngine starts a crashed engine again, with an empty cache.
func (s *Deployment) RestartEngine(engine *Engine) error {
	options := engine.options
	var fresh *inferrer.Engine
	options.OnCrash = func() { fresh.Crash() }
	fresh = inferrer.New(options)
	engine.Engine = fresh
	return s.serve(engine.Address, s.wrapped(engine.Name, engine.Engine.Serve))
}

func (s *Deployment) wrapped(name string, run func(net.Listener) error) func(net.Listener) error {
	if s.options.WrapListener == nil {
		return run
	}
	return func(listener net.Listener) error { return run(s.options.WrapListener(name, listener)) }
}

// AddInstance starts another instance in a data centre.
func (s *Deployment) AddInstance(dataCentre string) (*Node, error) {
	settings := &configurer.Settings{
		Name: fmt.Sprintf("%s-%d", dataCentre, len(s.Instances)+1), DataCentre: dataCentre,
		CallerAddress: FreeAddress(), OperatorAddress: FreeAddress(), PeerAddress: FreeAddress(), TableAddress: s.address, ObjectStoreAddress: s.address, InstanceListAddress: s.address, HomeThreshold: s.options.Homes,
	}
	for _, node := range s.Instances {
		settings.SeedPeers = append(settings.SeedPeers, node.Settings.PeerAddress)
	}
	s.network.place(settings.PeerAddress, dataCentre)
	node, err := s.StartInstance(settings.WithDefaults())
	if err == nil {
		s.Instances = append(s.Instances, node)
	}
	return node, err
}

// StartInstance starts an instance by settings.
func (s *Deployment) StartInstance(settings *configurer.Settings) (*Node, error) {
	instance, err := wisteriadrum.New(settings, s.options.Log, s.network.dialFrom(settings.DataCentre))
	if err != nil {
		return nil, err
	}
	node := &Node{Instance: instance, Settings: settings, done: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	hurry, hurried := context.WithCancel(context.Background())
	node.stop, node.hurry = stop, hurried
	s.finished.Go(func() {
		defer close(node.done)
		if err := instance.Run(ctx, hurry); err != nil {
			s.options.Log.Error("instance ended", zap.Error(err))
		}
	})
	return node, nil
}

// Partition separates a data centre from all others and from the platform, or ends
// that.
func (s *Deployment) Partition(dataCentre string, cut bool) { s.network.cut(dataCentre, cut) }

// Stop begins the planned stop of the instance; the channel tells its end.
func (n *Node) Stop() <-chan struct{} {
	n.stop()
	return n.done
}

// Kill ends the instance at once.
func (n *Node) Kill() {
	n.stop()
	n.hurry()
	<-n.done
}

// Close stops everything.
func (s *Deployment) Close() {
	for _, node := range s.Instances {
		node.stop()
		node.hurry()
	}
	s.finished.Wait()
	for _, end := range s.closing {
		end()
	}
}

// WaitReady waits until all instances are ready for requests.
func (s *Deployment) WaitReady() error {
	deadline := time.Now().Add(readyWithin)
	for _, node := range s.Instances {
		for !node.Ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("instance %s is not ready", node.Settings.Name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (s *Deployment) start() error {
	s.address = FreeAddress()
	if err := s.serve(s.address, s.Platform.Serve); err != nil {
		return err
	}
	s.Set = s.describe()
	if err := s.startEndpoints(); err != nil {
		return err
	}
	if s.options.EditSet != nil {
		s.options.EditSet(s.Set)
	}
	for _, dataCentre := range s.options.DataCentres {
		for range s.options.Instances {
			if _, err := s.AddInstance(dataCentre); err != nil {
				return err
			}
		}
	}
	if _, err := s.Instances[0].Publish(context.Background(), s.Set.Encode(), nil); err != nil {
		return err
	}
	return s.WaitReady()
}

// describe returns the set without its endpoints.
func (s *Deployment) describe() *cataloguer.Config {
	options := s.options
	set := &cataloguer.Config{
		Models: []modeler.Model{{Name: Model, Versions: []string{"v1", "v2"}, Piece: options.Engine.Piece}},
		Pools: []grouper.Pool{
			{Name: "hall", Kind: grouper.Engine, Model: Model, Version: "v1", CanContinue: true, PrefillNanosPerByte: options.Engine.PrefillPerByte},
			{Name: "office", Kind: grouper.Service},
		},
		Routes: []director.Route{
			{Name: "contracts", Pool: "hall", Model: Model, Objective: options.Weigh},
			{Name: "booking", Pool: "office", Prefix: BookingPath, AtMostOnce: true},
			{Name: "stock", Pool: "office", Prefix: StockPath},
		},
	}
	for _, dataCentre := range options.DataCentres {
		set.DataCentres = append(set.DataCentres, host.DataCentre{Name: dataCentre, Region: "region"})
	}
	for i := range options.Workspaces {
		digest := sha256.Sum256([]byte(WorkspaceKey(i)))
		set.Workspaces = append(set.Workspaces, tenant.Workspace{Name: fmt.Sprintf("workspace-%d", i), KeyHash: hex.EncodeToString(digest[:])})
	}
	return set
}

func (s *Deployment) startEndpoints() error {
	for _, dataCentre := range s.options.DataCentres {
		for i := range s.options.Engines {
			engine := &Engine{Name: fmt.Sprintf("%s-engine-%d", dataCentre, i+1), Address: FreeAddress(), options: s.options.Engine}
			if err := s.RestartEngine(engine); err != nil {
				return err
			}
			s.network.place(engine.Address, dataCentre)
			s.Engines = append(s.Engines, engine)
			s.Set.Endpoints = append(s.Set.Endpoints, worker.Endpoint{Name: engine.Name, Pool: "hall", DataCentre: dataCentre, Address: engine.Address})
		}
	}
	for i := range s.options.Services {
		service, address := booker.New(), FreeAddress()
		if err := s.serve(address, s.wrapped(fmt.Sprintf("office-%d", i+1), service.Serve)); err != nil {
			return err
		}
		s.Services = append(s.Services, service)
		dataCentre := s.options.DataCentres[i%len(s.options.DataCentres)]
		s.network.place(address, dataCentre)
		s.Set.Endpoints = append(s.Set.Endpoints, worker.Endpoint{Name: fmt.Sprintf("office-%d", i+1), Pool: "office", DataCentre: dataCentre, Address: address})
	}
	return nil
}

func (s *Deployment) serve(address string, run func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.closing = append(s.closing, func() { _ = listener.Close() })
	go func() { _ = run(listener) }() // ends when the listener is closed
	return nil
}
