package detector_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriadrum/detector"
	"wisteriadrum/requester"
	"wisteriadrum/router"
)

var now = time.Unix(1000, 0)

// prompt returns a request with parts and a last one of its own.
func prompt(parts ...string) *requester.Request {
	request := &requester.Request{Model: "m"}
	for _, id := range append(parts, fmt.Sprintf("own%p", request)) {
		request.Parts = append(request.Parts, requester.Part{ID: id, Tokens: 100})
	}
	return request
}

// crash sends a request that crashes an endpoint and reports whether a part is refused
// since.
func crash(d *detector.Detector, request *requester.Request) bool {
	_, _, refused := d.RecordCrash(detector.Crash{Request: request, Marks: d.Marks(request, now)}, now)
	return refused
}

func refuses(d *detector.Detector, parts ...string) bool {
	_, found := d.Find(prompt(parts...), 0, now)
	return found
}

// Guards against a part that crashes one endpoint after the other with requests of
// which no two are alike, and against refusing the first part, which others share.
func TestCrashingPartIsRefused(t *testing.T) {
	for name, answered := range map[string]bool{"first part answered": true, "first part not answered": false} {
		t.Run(name, func(t *testing.T) {
			d := detector.New()
			for n := range 3 {
				assert.Assert(t, !refuses(d, "first", "bad"))
				if answered {
					d.RecordAnswer(prompt("first"), now)
				}
				assert.Equal(t, crash(d, prompt("first", "bad")), n == 2)
			}
			part, found := d.Find(prompt("first", "bad"), 0, now)
			assert.Assert(t, found)
			assert.Equal(t, part.Name, "bad")
			assert.Equal(t, len(d.Refused(now)), 1)
			assert.Assert(t, !crash(d, prompt("first", "sound")))
			assert.Assert(t, !refuses(d, "first"))
			assert.Assert(t, !refuses(d, "first", "sound"))
		})
	}
}

// Guards against a first part that crashes endpoints whatever follows it, also where
// one part after it is refused in its place at first.
func TestCrashingFirstPart(t *testing.T) {
	d := detector.New()
	for n := range 5 {
		assert.Equal(t, crash(d, prompt("bad", fmt.Sprint(n))), n == 4)
	}
	assert.Assert(t, refuses(d, "bad"))
	d = detector.New()
	for n := range 3 {
		assert.Equal(t, crash(d, prompt("bad", "same")), n == 2)
	}
	for n := range 2 {
		assert.Assert(t, !refuses(d, "bad", "other"))
		assert.Equal(t, crash(d, prompt("bad", "other")), n == 1)
	}
	assert.Assert(t, refuses(d, "bad"))
}

// Guards against refusing a first part because prompts with other parts after it were
// lost with endpoints that one of its prompts crashed, or that ended meanwhile.
func TestFirstPartOfLostPrompts(t *testing.T) {
	d := detector.New()
	crash(d, prompt("first", "bad"))
	crash(d, prompt("first", "bad"))
	assert.Assert(t, !crash(d, prompt("first", "sound")))
	assert.Assert(t, crash(d, prompt("first", "bad")))
	assert.Assert(t, !refuses(d, "first", "sound"))
	assert.Assert(t, !crash(d, prompt("first", "sound")))
	assert.Assert(t, !refuses(d, "first"))
}

// Guards against refusing the part before the cause, if a prompt that ends with it is
// lost each time with one that goes on: in a conversation, after its last message.
func TestPromptsLostTogether(t *testing.T) {
	for name, order := range map[string][2]int{"shorter first": {0, 1}, "longer first": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			d := detector.New()
			prompts := [2]*requester.Request{prompt("first", "message"), prompt("first", "message", "bad")}
			for range 3 {
				marks := [2][]detector.Suspect{d.Marks(prompts[0], now), d.Marks(prompts[1], now)}
				for _, n := range order {
					d.RecordCrash(detector.Crash{Request: prompts[n], Marks: marks[n]}, now)
				}
			}
			assert.Assert(t, refuses(d, "first", "message", "bad"))
			assert.Assert(t, !refuses(d, "first", "message"))
		})
	}
}

// Guards against counting a loss of many endpoints at one moment as many crashes.
func TestEndpointsThatEndAtOneMoment(t *testing.T) {
	d := detector.New()
	for range 2 { // moments
		request := prompt("first", "second")
		marks := d.Marks(request, now)
		for range 50 {
			_, _, refused := d.RecordCrash(detector.Crash{Request: request, Marks: marks}, now)
			assert.Assert(t, !refused)
		}
	}
}

// Guards against refusing parts while endpoints crash again and again for another
// reason: a part on which one begins to answer is sound, also if it was refused.
func TestAnswerClears(t *testing.T) {
	d := detector.New()
	for range 10 {
		crash(d, prompt("first", "second"))
		crash(d, prompt("first", "second"))
		void, cleared := d.RecordAnswer(prompt("first", "second"), now)
		assert.Equal(t, len(void), 2)
		assert.Equal(t, len(cleared), 2)
	}
	assert.Equal(t, len(d.Refused(now)), 0)
	for n := range 5 { // endpoints have answered both
		assert.Equal(t, crash(d, prompt("first", "second")), n == 4)
	}
	assert.Assert(t, refuses(d, "first", "second"))
	d.RecordAnswer(prompt("second"), now)
	assert.Assert(t, !refuses(d, "first", "second"))
	d.RecordAnswer(prompt("first"), now)
	_, cleared := d.RecordAnswer(prompt("first", "second"), now)
	assert.Equal(t, len(cleared), 0, "sound parts are announced again")
}

// Guards against a part that was cleared and is refused again by reports of crashes
// from before, of this instance or another.
func TestLateReports(t *testing.T) {
	a, b := detector.New(), detector.New()
	late := prompt("first", "second")
	crash(a, late)
	before := a.Marks(late, now)
	report, _, _ := b.RecordCrash(detector.Crash{Request: late, Marks: before}, now)
	crash(a, late)
	marks := a.Marks(late, now)
	_, cleared := a.RecordAnswer(late, now)
	b.Merge(cleared, now)
	for _, suspect := range b.Suspects(now) {
		assert.Equal(t, suspect.Level, 0)
	}
	assert.Assert(t, !a.Merge(report, now))
	changed, _, refused := a.RecordCrash(detector.Crash{Request: late, Marks: marks}, now)
	assert.Assert(t, !refused)
	assert.Equal(t, len(changed), 0)
	_, _, refused = b.RecordCrash(detector.Crash{Request: late, Marks: marks}, now)
	assert.Assert(t, !refused)
}

// Guards against evidence from crashes that a refused part explains, as of requests
// that were under way.
func TestExplainedCrash(t *testing.T) {
	d := detector.New()
	for range 3 {
		crash(d, prompt("first", "bad"))
	}
	known := len(d.Suspects(now))
	d.RecordCrash(detector.Crash{Request: prompt("another", "bad", "third"), Marks: nil}, now)
	d.RecordCrash(detector.Crash{Request: prompt("bad", "third"), Marks: nil}, now)
	assert.Equal(t, len(d.Suspects(now)), known)
}

// Guards against instances that disagree after they received the same reports in
// different orders, some repeatedly.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		suspect := rapid.Custom(func(t *rapid.T) detector.Suspect {
			return detector.Suspect{
				Part: rapid.Uint64Range(1, 3).Draw(t, "part"), Name: rapid.SampledFrom([]string{"", "n"}).Draw(t, "name"),
				Epoch: rapid.IntRange(0, 2).Draw(t, "epoch"), Level: rapid.IntRange(0, 4).Draw(t, "level"),
				Refused: rapid.Bool().Draw(t, "refused"), Answers: rapid.IntRange(0, 2).Draw(t, "answers"), Crashes: rapid.IntRange(0, 2).Draw(t, "crashes"),
				Trials: rapid.IntRange(0, 2).Draw(t, "trials"), TrialAt: now.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "trial")) * time.Second),
				Rival: rapid.Uint64Range(0, 3).Draw(t, "rival"), Weights: rapid.IntRange(0, 2).Draw(t, "weights"), Until: now.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "until")) * time.Second),
			}
		})
		reports := rapid.SliceOfN(suspect, 1, 12).Draw(t, "reports")
		inOrder := detector.New()
		inOrder.Merge(reports, now)
		assert.Assert(t, !inOrder.Merge(reports, now), "known reports are new")
		shuffled, half := detector.New(), detector.New()
		order := rapid.Permutation(reports).Draw(t, "order")
		half.Merge(order[len(order)/2:], now)
		for _, report := range order {
			shuffled.Merge([]detector.Suspect{report}, now)
		}
		half.Merge(shuffled.Suspects(now), now)
		assert.Equal(t, sorted(inOrder), sorted(shuffled))
		assert.Equal(t, sorted(inOrder), sorted(half))
	})
}

func sorted(d *detector.Detector) string {
	suspects := d.Suspects(now)
	slices.SortFunc(suspects, func(a, b detector.Suspect) int { return cmp.Compare(a.Part, b.Part) })
	return fmt.Sprint(suspects)
}

// Guards against callers that fill the memory or displace refused parts by many crashes
// or long prompts.
func TestRecordIsBounded(t *testing.T) {
	d := detector.New()
	for range 5 {
		crash(d, prompt("bad"))
	}
	for n := range 1100 {
		d.RecordCrash(detector.Crash{Request: prompt(fmt.Sprint(n)), Marks: nil}, now.Add(time.Second))
	}
	assert.Equal(t, len(d.Suspects(now)), 1024)
	assert.Assert(t, refuses(d, "bad"))
	least := detector.Suspect{Part: 1, Until: now.Add(time.Second)}
	assert.Assert(t, !d.Merge([]detector.Suspect{least}, now), "evidence without room is new each time")
	d = detector.New()
	crash(d, prompt(strings.Split(strings.Repeat("x", 100), "")...))
	assert.Equal(t, len(d.Suspects(now)), 1, "a repeated part counts once")
	var long []string
	for n := range 100 {
		long = append(long, strings.Repeat("x", 100)+fmt.Sprint(n))
	}
	crash(d, prompt(long...))
	assert.Equal(t, len(d.Suspects(now)), 1+32)
	for _, suspect := range d.Suspects(now) {
		assert.NilError(t, suspect.Validate())
	}
}

// Guards against a repeated part that counts as two, of which one clears the other.
func TestRepeatedPart(t *testing.T) {
	d := detector.New()
	for n := range 5 {
		assert.Equal(t, crash(d, prompt("bad", "bad")), n == 4)
	}
	assert.Assert(t, refuses(d, "bad"))
}

// Guards against evidence against the last part, which belongs to one request: the
// quarantine of requests is for that.
func TestLastPart(t *testing.T) {
	d, request := detector.New(), prompt()
	for range 5 {
		assert.Assert(t, !crash(d, request))
	}
	assert.Equal(t, len(d.Suspects(now)), 0)
}

// Guards against an isolated workspace whose crashes affect others, and against
// refusals that do not end.
func TestScopeAndExpiry(t *testing.T) {
	isolated := func() *requester.Request {
		request := prompt("part")
		request.Workspace = router.Workspace{Name: "w", Isolated: true}
		return request
	}
	d := detector.New()
	for range 5 {
		crash(d, isolated())
	}
	_, found := d.Find(isolated(), 0, now)
	assert.Assert(t, found)
	assert.Assert(t, !refuses(d, "part"))
	_, found = d.Find(isolated(), 0, now.Add(time.Hour))
	assert.Assert(t, !found)
	assert.Equal(t, len(d.Probations(isolated(), 0, now.Add(time.Hour))), 0, "expired evidence asks for a turn")
}

// Guards against refusing a part that several others follow, of parts with the same
// evidence.
func TestDeepestPart(t *testing.T) {
	d := detector.New()
	for range 3 {
		crash(d, prompt("first", "second", "bad"))
	}
	part, found := d.Find(prompt("first", "second", "bad"), 0, now)
	assert.Assert(t, found)
	assert.Equal(t, part.Name, "bad")
	assert.Assert(t, !crash(d, prompt("first", "second", "sound")))
	assert.Assert(t, !refuses(d, "first", "second"))
}
