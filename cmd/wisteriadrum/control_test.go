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
	settleTime  = 8 * time.Second
	measureTime = 12 * time.Second
	clockTicks  = 100 // a second, of the times in /proc
	firstPort   = 21000
)

// BenchmarkControl gives what control costs an idle instance by the number of
// instances and endpoints, over three data centres.
func BenchmarkControl(b *testing.B) {
	for _, c := range []struct{ instances, endpoints int }{{7, 20}, {20, 20}, {60, 20}, {20, 60}, {20, 180}} {
		b.Run(fmt.Sprintf("instances=%d/endpoints=%d", c.instances, c.endpoints), func(b *testing.B) {
			for b.Loop() {
				control(b, c.instances, c.endpoints)
			}
		})
	}
}

// usage sums up what the instances have used.
type usage struct {
	cpu, memory, peers, probes, events float64
}

func control(b *testing.B, instances, endpoints int) {
	folder := b.TempDir()
	platform := launcher.FreeAddress()
	spawn(b, "standin", "platform", "--listen", platform)
	spawn(b, "standin", "engine", "--listen", fmt.Sprintf("127.0.0.1:%d", firstPort), "--count", strconv.Itoa(endpoints))
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
		pids = append(pids, spawn(b, "wisteriadrum", "serve", file))
	}
	time.Sleep(2 * time.Second)
	output, err := exec.Command(filepath.Join(binaries, "wisteriadrum"), "publish", "--operator", operators[0], publishable(b, folder, endpoints)).CombinedOutput()
	if err != nil {
		b.Fatalf("%s: %s", err, output)
	}
	time.Sleep(settleTime)
	before := used(b, pids, operators)
	time.Sleep(measureTime)
	after := used(b, pids, operators)
	each := float64(instances) * measureTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpu-before.cpu)/each, "core%")
	b.ReportMetric(after.memory/float64(instances), "MB")
	b.ReportMetric((after.peers-before.peers)/each, "peerB/s")
	b.ReportMetric((after.probes-before.probes)/each, "probes/s")
	b.ReportMetric((after.events-before.events)/each, "eventpages/s")
}

func publishable(b *testing.B, folder string, endpoints int) string {
	list := make([]string, endpoints)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"e-%d","pool":"hall","data_centre":"dc-%d","address":"127.0.0.1:%d"}`, i, i%3, firstPort+i)
	}
	set := fmt.Sprintf(`{"data_centres":[{"name":"dc-0"},{"name":"dc-1"},{"name":"dc-2"}],"models":[{"name":"lingua","versions":["v1"]}],
		"pools":[{"name":"hall","kind":"engine","model":"lingua","version":"v1"}],"endpoints":[%s],
		"routes":[{"name":"contracts","pool":"hall","model":"lingua"}]}`, strings.Join(list, ","))
	file := filepath.Join(folder, "set.json")
	must(b, os.WriteFile(file, []byte(set), 0o600))
	return file
}

func spawn(b *testing.B, program string, arguments ...string) int {
	b.Helper()
	command := exec.Command(filepath.Join(binaries, program), arguments...)
	must(b, command.Start())
	b.Cleanup(func() {
		_ = command.Process.Kill() // it may be gone
		_ = command.Wait()
	})
	return command.Process.Pid
}

func used(b *testing.B, pids []int, operators []string) usage {
	b.Helper()
	var sum usage
	for i, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		must(b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		for _, field := range fields[11:13] { // user and system time
			ticks, err := strconv.ParseFloat(field, 64)
			must(b, err)
			sum.cpu += ticks / clockTicks
		}
		pages, err := strconv.ParseFloat(fields[21], 64)
		must(b, err)
		sum.memory += pages * float64(os.Getpagesize()) / (1 << 20)
		counters := read(b, operators[i])
		sum.peers += counters["peers.sent-bytes"] + counters["peers.received-bytes"]
		sum.probes += counters["probe.reports"]
		sum.events += counters["events.pages"]
	}
	return sum
}

func read(b *testing.B, operator string) map[string]float64 {
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
