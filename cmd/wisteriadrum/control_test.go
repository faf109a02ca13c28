package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"wisteriadrum/launcher"
)

const (
	settleDuration      = 8 * time.Second
	measureDuration     = 12 * time.Second
	clockTicksPerSecond = 100 // unit of the CPU times in /proc
	firstPort           = 21000
)

// BenchmarkControl reports the CPU, memory and traffic of idle instances for
// membership, probes and cache events, by the number of instances and endpoints
// in three data centres.
func BenchmarkControl(b *testing.B) {
	for _, c := range []struct{ instances, endpoints int }{{7, 20}, {20, 20}, {60, 20}, {20, 60}, {20, 180}} {
		b.Run(fmt.Sprintf("instances=%d/endpoints=%d", c.instances, c.endpoints), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, c.instances, c.endpoints)
			}
		})
	}
}

// resources sums the resource usage of all instances.
type resources struct {
	cpu, memory, peers, probes, events float64
}

func measureIdle(b *testing.B, instances, endpoints int) {
	folder := b.TempDir()
	platform := launcher.FreeAddress()
	startProcess(b, "standin", "platform", "--listen", platform)
	startProcess(b, "standin", "engine", "--listen", fmt.Sprintf("127.0.0.1:%d", firstPort), "--count", strconv.Itoa(endpoints))
	time.Sleep(time.Second)
	var operators, peers []string
	var pids []int
	for i := range instances {
		operator, peer := launcher.FreeAddress(), launcher.FreeAddress()
		settings := fmt.Sprintf(`{"name":"node-%d","data_centre":"dc-%d","caller":%q,"operator":%q,"peer":%q,"table":%q,"objects":%q,"list":%q,"peers":[%s],"events":500}`,
			i, i%3, launcher.FreeAddress(), operator, peer, platform, platform, platform, strings.Join(peers[:min(len(peers), 5)], ","))
		file := filepath.Join(folder, fmt.Sprintf("%d.json", i))
		must(b, os.WriteFile(file, []byte(settings), 0o600))
		operators, peers = append(operators, operator), append(peers, fmt.Sprintf("%q", peer))
		pids = append(pids, startProcess(b, "wisteriadrum", "serve", file))
	}
	time.Sleep(2 * time.Second)
	output, err := exec.Command(filepath.Join(binaries, "wisteriadrum"), "publish", "--operator", operators[0], writeConfig(b, folder, endpoints)).CombinedOutput()
	if err != nil {
		b.Fatalf("%s: %s", err, output)
	}
	time.Sleep(settleDuration)
	before := readResources(b, pids, operators)
	time.Sleep(measureDuration)
	after := readResources(b, pids, operators)
	instanceSeconds := float64(instances) * measureDuration.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpu-before.cpu)/instanceSeconds, "core%")
	b.ReportMetric(after.memory/float64(instances), "MB")
	b.ReportMetric((after.peers-before.peers)/instanceSeconds, "peerB/s")
	b.ReportMetric((after.probes-before.probes)/instanceSeconds, "probes/s")
	b.ReportMetric((after.events-before.events)/instanceSeconds, "eventpages/s")
}

func writeConfig(b *testing.B, folder string, endpoints int) string {
	list := make([]string, endpoints)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"e-%d","pool":"hall","data_centre":"dc-%d","address":"127.0.0.1:%d"}`, i, i%3, firstPort+i)
	}
	config := fmt.Sprintf(`{"data_centres":[{"name":"dc-0"},{"name":"dc-1"},{"name":"dc-2"}],"models":[{"name":"lingua","versions":["v1"]}],
		"pools":[{"name":"hall","kind":"engine","model":"lingua","version":"v1"}],"endpoints":[%s],
		"routes":[{"name":"contracts","pool":"hall","model":"lingua"}]}`, strings.Join(list, ","))
	file := filepath.Join(folder, "set.json")
	must(b, os.WriteFile(file, []byte(config), 0o600))
	return file
}

func startProcess(b *testing.B, program string, arguments ...string) int {
	b.Helper()
	command := exec.Command(filepath.Join(binaries, program), arguments...)
	must(b, command.Start())
	b.Cleanup(func() {
		_ = command.Process.Kill() // it may have exited
		_ = command.Wait()
	})
	return command.Process.Pid
}

func readResources(b *testing.B, pids []int, operators []string) resources {
	b.Helper()
	var sum resources
	for i, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		must(b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		for _, field := range fields[11:13] { // user and system time
			ticks, err := strconv.ParseFloat(field, 64)
			must(b, err)
			sum.cpu += ticks / clockTicksPerSecond
		}
		pages, err := strconv.ParseFloat(fields[21], 64)
		must(b, err)
		sum.memory += pages * float64(os.Getpagesize()) / (1 << 20)
		counters := readCounters(b, operators[i])
		sum.peers += counters["peers.sent-bytes"] + counters["peers.received-bytes"]
		sum.probes += counters["probe.reports"]
		sum.events += counters["events.pages"]
	}
	return sum
}

func readCounters(b *testing.B, operator string) map[string]float64 {
	b.Helper()
	response, err := http.Get("http://" + operator + "/metrics.json")
	must(b, err)
	defer func() { _ = response.Body.Close() }()
	var all map[string]struct{ Count float64 }
	must(b, json.NewDecoder(response.Body).Decode(&all))
	counters := map[string]float64{}
	for name, metric := range all {
		counters[name] = metric.Count
	}
	return counters
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
