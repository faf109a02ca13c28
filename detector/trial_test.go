package detector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/detector"
)

// send sends a prompt at a time unless it is refused, and reports whether it was sent. All
// endpoints crash that begin to answer.
func send(d *detector.Detector, at time.Time, parts ...string) bool {
	return sendOn(d, at, 0, parts...)
}

// sendOn is send with a version of the weights.
func sendOn(d *detector.Detector, at time.Time, weights int, parts ...string) bool {
	request := prompt(parts...)
	if _, refused := d.Find(request, weights, at); refused {
		return false
	}
	d.RecordCrash(detector.Crash{Request: request, Marks: d.Marks(request, at), Endpoint: at.String(), Weights: weights}, at)
	return true
}

// sentAfter returns the times after now at which prompts are sent, of one a second.
func sentAfter(d *detector.Detector, period time.Duration, parts ...string) []time.Duration {
	var sent []time.Duration
	for at := time.Second; at <= period; at += time.Second {
		if send(d, now.Add(at), parts...) {
			sent = append(sent, at)
		}
	}
	return sent
}

// isFree reports whether prompts are sent without a turn.
func isFree(d *detector.Detector, parts ...string) bool {
	return !refuses(d, parts...) && len(d.Probations(prompt(parts...), 0, now)) == 0
}

// Guards against refusing a sound part that follows the crashing one, although endpoints
// answered it before its crashes (review/12).
func TestSoundPartBehindCrashingOne(t *testing.T) {
	for _, answers := range []int{1, 32} {
		d := detector.New()
		for range answers {
			d.RecordAnswer(prompt("sound", "document"), now)
		}
		for n := range 5 {
			assert.Assert(t, !refuses(d, "sound", "document"), "after %d crashes", n)
			assert.Equal(t, crash(d, prompt("bad", "document")), n == 4)
		}
		assert.Assert(t, refuses(d, "bad", "other"))
		assert.Assert(t, isFree(d, "sound", "document"))
	}
}

// Guards against refusing an answered part that was lost once more than the crashing one.
func TestSoundPartLostOnceMore(t *testing.T) {
	d := detector.New()
	d.RecordAnswer(prompt("sound", "document"), now)
	crash(d, prompt("sound", "document"))
	for n := range 4 {
		assert.Equal(t, crash(d, prompt("bad", "document")), n == 3)
	}
	assert.Assert(t, refuses(d, "bad", "document"))
	assert.Assert(t, isFree(d, "sound", "document"))
}

// Guards against a part that stays refused because no prompt of it was answered before those
// with the crashing one.
func TestSoundPartAnsweredLater(t *testing.T) {
	d := detector.New()
	for n := range 3 {
		assert.Equal(t, crash(d, prompt("bad", "document")), n == 2)
	}
	assert.Assert(t, refuses(d, "bad", "document"), "a prompt with both parts shows nothing")
	assert.Assert(t, !refuses(d, "sound", "document"))
	assert.Assert(t, !isFree(d, "sound", "document"), "tried without a turn")
	d.RecordAnswer(prompt("sound", "document"), now)
	assert.Assert(t, isFree(d, "sound", "document"))
	crashes := 3
	for ; !refuses(d, "bad", "document"); crashes++ {
		crash(d, prompt("bad", "document"))
	}
	assert.Equal(t, crashes, 5)
	assert.Assert(t, isFree(d, "sound", "document"))
}

// Guards against answers of one instance that do not count at another one, where the part
// was refused.
func TestAnswersOfOtherInstances(t *testing.T) {
	a, b := detector.New(), detector.New()
	b.RecordAnswer(prompt("sound", "document"), now)
	for range 3 {
		crash(a, prompt("bad", "document"))
	}
	assert.Assert(t, refuses(a, "bad", "document"))
	b.Merge(a.Suspects(now), now)
	a.Merge(b.Suspects(now), now)
	for _, d := range []*detector.Detector{a, b} {
		assert.Equal(t, len(d.Refused(now)), 0)
		assert.Assert(t, !refuses(d, "sound", "document"))
	}
}

// Guards against refusals that are never tried again, and against trials that crash more
// endpoints than the part may.
func TestTrials(t *testing.T) {
	refused := func(prepare func(d *detector.Detector)) *detector.Detector {
		d := detector.New()
		prepare(d)
		for !refuses(d, "first", "bad") {
			send(d, now, "first", "bad")
		}
		d.RecordAnswer(prompt("first"), now)
		return d
	}
	for _, c := range []struct {
		name    string
		prepare func(d *detector.Detector)
		// seconds are the times of the trials.
		seconds []int
	}{
		{"not answered", func(d *detector.Detector) { d.RecordAnswer(prompt("first"), now) }, []int{60, 180}},
		{"answered", func(d *detector.Detector) { d.RecordAnswer(prompt("first", "bad"), now) }, []int{5, 20, 80}},
		{"as many endpoints end for another reason", func(d *detector.Detector) {
			d.RecordAnswer(prompt("first"), now)
			for n := range 3 {
				lost := prompt("first", fmt.Sprint(n))
				d.RecordCrash(detector.Crash{Request: lost, Endpoint: fmt.Sprint(n), Begun: true}, now)
			}
		}, []int{5, 125}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var seconds []int
			for _, at := range sentAfter(refused(c.prepare), 9*time.Minute, "first", "bad") {
				seconds = append(seconds, int(at/time.Second))
			}
			assert.DeepEqual(t, seconds, c.seconds)
		})
	}
	d := refused(func(*detector.Detector) {})
	at := now.Add(time.Minute)
	d.RecordAnswer(prompt("first", "bad"), at)
	assert.Assert(t, send(d, at, "first", "bad"), "refused after an answer to a trial")
}

// Guards against a part that stays refused after new weights have mended it, and against a
// trial with each of many versions.
func TestTrialWithNewWeights(t *testing.T) {
	d := detector.New()
	d.RecordAnswer(prompt("first"), now)
	for range 3 {
		assert.Assert(t, sendOn(d, now, 4, "first", "bad"))
	}
	assert.Assert(t, !sendOn(d, now, 4, "first", "bad"))
	crashes := 0
	for version := 5; version < 20; version++ {
		for range 2 {
			if sendOn(d, now, version, "first", "bad") {
				crashes++
			}
		}
	}
	assert.Equal(t, crashes, 3)
	d = detector.New()
	d.RecordAnswer(prompt("first"), now)
	for range 3 {
		sendOn(d, now, 4, "first", "bad")
	}
	trial := prompt("first", "bad")
	probations := d.Probations(trial, 5, now)
	assert.Equal(t, len(probations), 1)
	slots, bounded := probations[0].Slots()
	assert.Assert(t, bounded && slots == 1, "%d slots", slots)
	d.RecordAnswer(trial, now)
	assert.Assert(t, isFree(d, "first", "bad"))
}

// Guards against a second trial whose sender does not know yet that the first one crashed
// an endpoint.
func TestReviewOfTrials(t *testing.T) {
	home, other := detector.New(), detector.New()
	for range 3 {
		crash(home, prompt("bad", "document"))
	}
	other.Merge(home.Suspects(now), now)
	trial := prompt("sound", "document")
	probations := other.Probations(trial, 0, now)
	slots := func() int {
		for _, reviewed := range home.Review(probations, now) {
			if slots, bounded := reviewed.Slots(); bounded {
				return slots
			}
		}
		return -1
	}
	assert.Equal(t, slots(), 1)
	crash(home, trial)
	assert.Equal(t, slots(), 0)
}
