package admitter_test

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"wisteriadrum/admitter"
	"wisteriadrum/counter"
	"wisteriadrum/detector"
	"wisteriadrum/requester"
)

const (
	step = 50 * time.Millisecond
	// crashAfter is how long it takes until a crash shows, or an answer begins.
	crashAfter = 4 * time.Second
)

// fleet is three instances whose home is the first one, with a clock of its own.
type fleet struct {
	clock     atomic.Int64
	admitters []*admitter.Admitter
	detectors []*detector.Detector
	lost      atomic.Bool
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{}
	f.clock.Store(int64(time.Hour))
	for n := range 3 {
		detect := detector.New()
		home := func(uint64) (string, bool) { return "home", n == 0 }
		member := admitter.New(fmt.Sprint("n", n), home, f.dial, detect, counter.New(metrics.NewRegistry()), f.now)
		f.admitters, f.detectors = append(f.admitters, member), append(f.detectors, detect)
	}
	return f
}

func (f *fleet) now() time.Time { return time.Unix(0, f.clock.Load()) }

func (f *fleet) dial(string) (net.Conn, error) {
	if f.lost.Load() {
		return nil, errors.New("unreachable")
	}
	server := rpc.NewServer()
	if err := f.admitters[0].Register(server); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	return near, nil
}

// sending is a request under way.
type sending struct {
	instance int
	request  *requester.Request
	marks    []detector.Suspect
	endsAt   time.Time
	end      func()
}

// prompt returns a request with parts and a last one of its own.
func prompt(parts ...string) *requester.Request {
	request := &requester.Request{Model: "m"}
	for _, id := range append(parts, fmt.Sprintf("own%p", request)) {
		request.Parts = append(request.Parts, requester.Part{ID: id, Tokens: 100})
	}
	return request
}

// send sends a request unless it is refused or gets no turn.
func (f *fleet) send(instance int, request *requester.Request) (sending, bool) {
	detect := f.detectors[instance]
	sent := sending{instance: instance, request: request, endsAt: f.now().Add(crashAfter)}
	if probations := detect.Probations(request, 0, f.now()); len(probations) > 0 {
		end, granted := f.admitters[instance].Take(detector.Scope(request), probations, sent.endsAt.Add(time.Second))
		if !granted {
			return sent, false
		}
		sent.end = end
	}
	_, refused := detect.Find(request, 0, f.now())
	sent.marks = detect.Marks(request, f.now())
	return sent, !refused
}

// finish ends a request with a crash, or with an answer that begins. Other instances learn
// of it if told is set.
func (f *fleet) finish(sent sending, crashed, told bool) {
	detect := f.detectors[sent.instance]
	var changed []detector.Suspect
	if crashed {
		changed, _, _ = detect.RecordCrash(detector.Crash{Request: sent.request, Marks: sent.marks}, f.now())
	} else {
		_, changed = detect.RecordAnswer(sent.request, f.now())
	}
	if sent.end != nil {
		sent.end()
	}
	for _, other := range f.detectors {
		if told {
			other.Merge(changed, f.now())
		}
	}
}

// Guards against requests with a part that crashes endpoints going out all the time that a
// crash takes to show: those under way together count as one crash.
func TestPartThatCrashesSlowEndpoints(t *testing.T) {
	for _, parts := range [][]string{{"first", "bad"}, {"bad"}} {
		f := newFleet(t)
		var underway []sending
		crashes, late := 0, 0
		for n := range 1200 { // a minute
			if sent, ok := f.send(n%3, prompt(parts...)); ok {
				underway = append(underway, sent)
				if late++; crashes == 0 || len(parts) == 1 && f.detectors[0].Suspects(f.now())[0].Level < 3 {
					late = 0
				}
			}
			f.clock.Add(int64(step))
			for len(underway) > 0 && !underway[0].endsAt.After(f.now()) {
				f.finish(underway[0], true, crashes == 0 || len(parts) == 1)
				underway, crashes = underway[1:], crashes+1
			}
		}
		assert.Assert(t, late <= 2, "%d requests with %v were sent after their crashes were known", late, parts)
		for n := range f.detectors {
			f.clock.Add(int64(time.Second))
			_, sent := f.send(n, prompt(parts...))
			assert.Assert(t, !sent, "instance %d sends on", n)
		}
	}
}

// Guards against a sound part that stays on probation after it was lost in a crash, and
// against turns that are never free again since their holder or the home was lost.
func TestSoundPartLeavesProbation(t *testing.T) {
	f := newFleet(t)
	first, _ := f.send(0, prompt("first", "sound"))
	f.finish(first, true, true)
	_, ok := f.send(1, prompt("first", "sound")) // never ends
	assert.Assert(t, ok)
	_, ok = f.send(2, prompt("first", "sound"))
	assert.Assert(t, !ok)
	_, ok = f.send(2, prompt("first", "other"))
	assert.Assert(t, ok)
	f.clock.Add(int64(crashAfter + 2*time.Second))
	last, ok := f.send(2, prompt("first", "sound"))
	assert.Assert(t, ok)
	f.finish(last, false, true)
	for range 5 {
		_, ok = f.send(1, prompt("first", "sound"))
		assert.Assert(t, ok)
	}
}

// Guards against sending without a turn while the home does not answer.
func TestHomeDoesNotAnswer(t *testing.T) {
	f := newFleet(t)
	first, _ := f.send(0, prompt("first", "part"))
	f.finish(first, true, true)
	f.lost.Store(true)
	_, ok := f.send(1, prompt("first", "part"))
	assert.Assert(t, !ok)
	f.lost.Store(false)
	_, ok = f.send(1, prompt("first", "part"))
	assert.Assert(t, !ok, "asked again too soon")
	f.clock.Add(int64(time.Second))
	_, ok = f.send(1, prompt("first", "part"))
	assert.Assert(t, ok)
}
