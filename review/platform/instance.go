package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ports of each instance; that of the metrics is in the deploy file.
const (
	frontPort    = 18782
	readyPort    = 18789
	firstPort    = 17340
	lastPort     = 17355
	metricsPort  = 9464
	memoryMb     = 134
	maxFds       = 4100
	contactTime  = 3000 * time.Millisecond
	leaseTime    = 3000 * time.Millisecond
	configTime   = 2000 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// settings is the settings file of an instance, with the bounds of rhestr-print.
const settings = `nodeName = "%[1]s"
role = "router"
machineClass = "front"
serves = ["front"]
ip = "%[2]s"
zone = "z-a"
region = "r"
internalPorts = [%[3]d,%[4]d]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
z-a = "r"
[listen]
front = "%[2]s:%[5]d"
ready = "%[2]s:%[6]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %[7]d
maxFds = %[9]d
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
recoveryS = 12
transitMs = 120
retryAfterS = 10
requireFence = true
leaseMs = 3000
thawMs = 300
versionMs = 15000
versionAllMs = 21000
[platform]
address = "%[8]s"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partitionWritesS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`

// instance is one machine with a process of the router.
type instance struct {
	scene      *scene
	name, ip   string
	configPath string

	mu      sync.Mutex
	command *exec.Cmd
	// ended means that the case is over, downUntil until when the machine stays down.
	ended     bool
	downUntil time.Time
	// ownEnds counts the processes that ended by themselves, those included that the
	// platform killed over their memory limit.
	ownEnds int
	// killed means that the process in progress was killed as a disruption.
	killed bool
}

// newInstance starts an instance. Its process is started again whenever it ends.
func (s *scene) newInstance(name string) (*instance, error) {
	ip, err := s.freeAddress()
	if err != nil {
		return nil, err
	}
	platform, err := s.store.serve(name)
	if err != nil {
		return nil, err
	}
	i := &instance{scene: s, name: name, ip: ip, configPath: filepath.Join(s.folder, name+".toml")}
	text := fmt.Sprintf(settings, name, ip, firstPort, lastPort, frontPort, readyPort, memoryMb, platform, maxFds)
	if err := os.WriteFile(i.configPath, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings: %w", err)
	}
	s.instances = append(s.instances, i)
	if err := i.start(); err != nil {
		return nil, err
	}
	go i.watchMemory()
	return i, nil
}

// freeAddress returns a loopback address at which the ports of an instance are free.
func (s *scene) freeAddress() (string, error) {
	for s.nextHost < 250 {
		ip := s.subnet + "." + strconv.Itoa(s.nextHost)
		s.nextHost++
		free := true
		for _, port := range []int{frontPort, readyPort, firstPort, metricsPort} {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no address in %s.0/24 has the ports of an instance free", s.subnet)
}

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.scene.folder, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	// The shell sets the limit of descriptors and is replaced by the program.
	command := exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxFds)}, i.scene.program...)...)
	command.Env = []string{"WISTERIADRUM_CONFIG=" + i.configPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	i.mu.Lock()
	i.command, i.killed = command, false
	i.mu.Unlock()
	i.scene.note("start", "%s pid %d", i.name, command.Process.Pid)
	go i.restart(command, log)
	return nil
}

// restart starts the process again after it has ended.
func (i *instance) restart(command *exec.Cmd, log *os.File) {
	err := command.Wait()
	_ = log.Close()
	i.mu.Lock()
	if !i.ended && !i.killed {
		i.ownEnds++
	}
	i.mu.Unlock()
	i.scene.note("end", "%s: %v", i.name, err)
	for {
		i.mu.Lock()
		ended, pause := i.ended, max(restartDelay, time.Until(i.downUntil))
		i.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(pause)
		i.mu.Lock()
		ended, down := i.ended, time.Now().Before(i.downUntil)
		i.mu.Unlock()
		if down && !ended {
			continue
		}
		if ended || i.start() == nil {
			return
		}
	}
}

// kill kills the process, which is started again after down at the earliest.
func (i *instance) kill(down time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.downUntil, i.killed = time.Now().Add(down), true
	_ = i.command.Process.Kill() // it may have ended
	i.scene.note("kill", "%s pid %d", i.name, i.command.Process.Pid)
}

// end ends the process for good.
func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	if i.command != nil {
		_ = i.command.Process.Kill() // it may have ended
	}
}

// endedByItself returns how many processes ended by themselves.
func (i *instance) endedByItself() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ownEnds
}

// ready reports whether the instance says that it is ready.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// front returns the address for clients.
func (i *instance) front() string { return net.JoinHostPort(i.ip, strconv.Itoa(frontPort)) }

// watchMemory kills the process when it exceeds memoryMb, as the platform does. Only
// memory of its own counts here, not that of files such as the program itself.
func (i *instance) watchMemory() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		i.mu.Lock()
		ended, pid := i.ended, i.command.Process.Pid
		i.mu.Unlock()
		if ended {
			return
		}
		used, ok := ownMemoryMb(pid)
		if !ok || used <= memoryMb {
			continue
		}
		i.mu.Lock()
		if i.command.Process.Pid == pid {
			_ = i.command.Process.Kill() // it may have ended
		}
		i.mu.Unlock()
		i.scene.note("memory", "%s pid %d has %d MB of at most %d MB and is killed", i.name, pid, used, memoryMb)
		time.Sleep(50 * time.Millisecond)
	}
}

// ownMemoryMb returns the anonymous memory of a process in MB of 1<<20 bytes.
func ownMemoryMb(pid int) (int, bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes >> 10, err == nil
		}
	}
	return 0, false
}
