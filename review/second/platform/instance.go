package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance. Each has an address of its own.
const (
	frontPort = 8782
	readyPort = 8789
	peerPort  = 7340
)

// limits are the limits and bounds in the settings of an instance.
type limits struct {
	memoryMb, maxFds int
	requireFence     bool
}

// instance is a process of the router.
type instance struct {
	name, ip string
	settings string
	limits   limits
	record   *record
	logName  string
	mu       sync.Mutex
	cmd      *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, frontPort) }

// newInstance writes the settings of an instance into folder.
func newInstance(folder, name, ip, zone, storeAddress string, bootstrap bool, l limits, rec *record) (*instance, error) {
	contact, drain, apply := 3000, 2000, 2000 // those of the sites
	if !l.requireFence {
		contact, drain, apply = 4000, 3000, 3000 // those of the demands
	}
	text := fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r"
internalPorts = [%d,%d]
seeds = []
bootstrap = %t
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = %d
maxFds = %d
linkMbps = 1000.0
[bounds]
contactMs = %d
drainMs = %d
graceS = 8
lossSlackMs = 200
configApplyMs = %d
retryRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoveryS = 12
requireFence = %t
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
[platform]
address = %q
form = "table"
`, name, ip, zone, peerPort, peerPort+15, bootstrap, ip, frontPort, ip, readyPort, l.memoryMb, l.maxFds, contact, drain, apply, l.requireFence, storeAddress)
	settings := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &instance{name: name, ip: ip, settings: settings, limits: l, record: rec, logName: filepath.Join(folder, name+".log")}, nil
}

// start starts the process with the command of the deploy file, and with the limit of
// descriptors that the settings name.
func (i *instance) start(command string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(i.logName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has a descriptor of its own
	words := []string{"-c", fmt.Sprintf("ulimit -n %d && exec %s", i.limits.maxFds, command)}
	i.cmd = exec.Command("sh", words...)
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WISTERIADRUM_CONFIG=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.record.add("%s started, process %d", i.name, i.cmd.Process.Pid)
	exited := make(chan struct{})
	i.exited = exited
	cmd := i.cmd
	go func() {
		_ = cmd.Wait() // the state says how it ended
		i.record.say("%s ended: %s", i.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// end returns the channel that is closed when the process ends that was started last.
func (i *instance) end() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exited
}

// ended reports whether the process has ended.
func (i *instance) ended() bool {
	select {
	case <-i.end():
		return true
	default:
		return false
	}
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.record.add("%s gets %s", i.name, s)
	_ = i.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process if it runs.
func (i *instance) kill() {
	if i.ended() {
		return
	}
	i.signal(syscall.SIGKILL)
	<-i.end()
}

// probe asks whether the instance is ready, as the platform does each second.
func (i *instance) probe() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(fmt.Sprintf("http://%s/readyz", net.JoinHostPort(i.ip, fmt.Sprint(readyPort))))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (i *instance) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if i.probe() {
			i.record.add("%s is ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", i.name, limit)
}

// keepProbing probes the instance each second, as the platform does, until it has ended.
func (i *instance) keepProbing() {
	for !i.ended() {
		i.probe()
		select {
		case <-i.end():
		case <-time.After(time.Second):
		}
	}
}

// lastLog returns the lines of the log that contain one of the words, or those before the
// end of the process if it panicked.
func (i *instance) lastLog(words ...string) []string {
	data, err := os.ReadFile(i.logName)
	if err != nil {
		return nil
	}
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) && len(found) < 20 {
				found = append(found, line)
				break
			}
		}
	}
	return found
}
