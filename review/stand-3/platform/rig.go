package platform

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the settings, those of a small deployment.
const (
	ContactMs = 3000
	DrainMs   = 2000
	GraceS    = 8
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	NoResult = 2
)

// Rig holds the store, the instances and the record of one run.
type Rig struct {
	Store     *Store
	Instances []*Instance
	// Trouble means that the disruption takes place.
	Trouble bool
	// KeepBodies means that workers leave the bodies of requests to their Run functions.
	KeepBodies bool
	startedAt  time.Time
	tmp        string
	base       string
	mu         sync.Mutex
	record     *os.File
}

// Instance is a process of the system.
type Instance struct {
	Name, Front, Ready string
	rig                *Rig
	settings           string
	command            *exec.Cmd
	done               chan struct{}
}

// NewRig starts a store. The record is written to the file at path.
func NewRig(path string) (*Rig, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &Rig{Store: store, Trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), tmp: tmp, base: fmt.Sprintf("127.%d.%d.", 64+pid>>8&63, pid&255), record: record}
	go r.watch()
	return r, nil
}

// maxRun bounds the time of a run.
const maxRun = 117 * time.Second

// watch ends a run that lasts too long or is told to stop.
func (r *Rig) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		r.Logf("the case was told to stop")
	case <-time.After(maxRun):
		r.Logf("the case did not end within %s", maxRun)
	}
	r.Close()
	os.Exit(NoResult)
}

// Logf writes a line with the time since the start to the record.
func (r *Rig) Logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, instance := range r.Instances {
		instance.Kill()
	}
	_ = os.RemoveAll(r.tmp)
	_ = r.record.Close()
}

// freePort returns a port that is free at an address, for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 50 {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		packets, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at %s", ip)
}

// StartInstance starts an instance with the command of the deploy file. maxFds limits its
// descriptors, 0 for no limit.
func (r *Rig) StartInstance(zone string, maxFds int) (*Instance, error) {
	number := len(r.Instances) + 1
	ip := r.base + fmt.Sprint(number)
	ports := make([]int, 3)
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	instance := &Instance{Name: fmt.Sprintf("front-%d", number), Front: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1]), rig: r}
	instance.settings = filepath.Join(r.tmp, instance.Name+".toml")
	r.Instances = append(r.Instances, instance)
	return instance, instance.start(ip, zone, ports[2], maxFds, true)
}

func (i *Instance) start(ip, zone string, peerPort, maxFds int, first bool) error {
	text := fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r"
internalPorts = [%d,%d]
bootstrap = %t
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
za = "r"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = %d
drainMs = %d
graceS = %d
configApplyMs = 2000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
requireFence = true
leaseMs = 3000
versionMs = 12000
[platform]
address = %q
form = "table"
`, i.Name, ip, zone, peerPort, peerPort, first, i.Front, i.Ready, ContactMs, DrainMs, GraceS, i.rig.Store.Address)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	name, args := "target/wisteriadrum", []string{"platform"}
	if maxFds > 0 {
		name, args = "sh", []string{"-c", fmt.Sprintf("ulimit -n %d && exec target/wisteriadrum platform", maxFds)}
	}
	i.command = exec.Command(name, args...) //nolint:gosec // the command of the deploy file
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WISTERIADRUM_CONFIG=" + i.settings}
	log, err := os.Create(filepath.Join(i.rig.tmp, i.Name+".log"))
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		return err
	}
	i.done = make(chan struct{})
	go func() {
		_ = i.command.Wait()
		close(i.done)
	}()
	return nil
}

// Pid returns the id of the process.
func (i *Instance) Pid() int { return i.command.Process.Pid }

// Ended reports whether the process has ended.
func (i *Instance) Ended() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// Kill kills the process.
func (i *Instance) Kill() {
	if i.command != nil && i.command.Process != nil && i.done != nil {
		_ = i.command.Process.Kill()
		<-i.done
	}
}

// Log returns the lines of the log of the process that contain one of some texts.
func (i *Instance) Log(texts ...string) []string {
	data, _ := os.ReadFile(filepath.Join(i.rig.tmp, i.Name+".log"))
	var found []string
	for line := range strings.Lines(string(data)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				found = append(found, strings.TrimSpace(line))
				break
			}
		}
	}
	return found
}

// IsReady probes the instance.
func (i *Instance) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + i.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready and have been in touch for ContactMs.
func (r *Rig) AwaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, instance := range r.Instances {
		for !instance.IsReady() {
			if instance.Ended() || time.Now().After(deadline) {
				return fmt.Errorf("instance %s did not become ready: %s", instance.Name, strings.Join(instance.Log("\n"), "\n"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep((ContactMs + 500) * time.Millisecond)
	r.Logf("%d instances are ready and have been in touch for %d ms", len(r.Instances), ContactMs)
	return nil
}
