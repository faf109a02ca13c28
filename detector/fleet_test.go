package detector_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadrum/detector"
)

const (
	tick        = 100 * time.Millisecond
	contactTime = 3 * time.Second
	// period is how long a fleet is simulated, badAfter when prompts with the bad part
	// begin.
	period   = 5 * time.Minute
	badAfter = 10 * time.Second
)

// traffic is the load of a simulated fleet. Probabilities are per tick or request.
type traffic struct {
	// bad are the prompts with a part that crashes endpoints, sound the others.
	bad, sound [][]string
	badRate    float64
	soundRate  float64
	soundFrom  time.Duration
	// otherCrashes is the probability that an endpoint ends for another reason.
	otherCrashes float64
	// bystanders is the probability that a sound prompt is lost with an endpoint that the
	// bad part crashes.
	bystanders float64
	instances  int
}

// setPrompts sets prompts with a number of documents, and the bad part at an index.
func (l *traffic) setPrompts(documents, index int) {
	for n := range documents {
		document := fmt.Sprint("document", n)
		l.sound = append(l.sound, []string{"first", document}, []string{"other", document})
		l.bad = append(l.bad, [][]string{{"bad", document}, {"first", "bad", document}, {"first", document, "bad"}}[index])
	}
}

// fleet is instances that learn in each tick what the others knew in the one before.
type fleet struct {
	traffic   traffic
	detectors []*detector.Detector
	at        time.Time
	// losses is the number of endpoints that crashed, crashes are the times of those that
	// the bad part crashed, late counts its prompts that were sent too late.
	losses  int
	crashes []time.Time
	late    int
	// asked and refused count the sound requests since the crashes should be known.
	asked, refused int
}

func newFleet(load traffic) *fleet {
	f := &fleet{traffic: load, at: now}
	for range load.instances {
		f.detectors = append(f.detectors, detector.New())
	}
	return f
}

// run simulates the period; draw returns the next random number below 1.
func (f *fleet) run(draw func() float64) {
	pick := func(prompts [][]string) []string { return prompts[int(draw()*float64(len(prompts)))] }
	for ; f.at.Before(now.Add(period)); f.at = f.at.Add(tick) {
		instance := f.detectors[int(draw()*float64(len(f.detectors)))]
		if f.at.After(now.Add(badAfter)) && draw() < f.traffic.badRate {
			f.sendBad(instance, pick(f.traffic.bad), pick(f.traffic.sound), draw() < f.traffic.bystanders)
		}
		if !f.at.Before(now.Add(f.traffic.soundFrom)) && draw() < f.traffic.soundRate {
			f.sendSound(instance, pick(f.traffic.sound), draw() < f.traffic.otherCrashes)
		}
		for _, from := range f.detectors {
			for _, to := range f.detectors {
				to.Merge(from.Suspects(f.at), f.at)
			}
		}
	}
}

func (f *fleet) sendBad(instance *detector.Detector, parts, bystander []string, isLost bool) {
	if _, refused := instance.Find(prompt(parts...), 0, f.at); refused {
		return
	}
	f.crashes = append(f.crashes, f.at)
	if len(f.crashes) > 5 && f.at.After(f.crashes[4].Add(contactTime)) {
		f.late++
	}
	other := prompt(bystander...)
	marks := instance.Marks(other, f.at)
	_, refused := instance.Find(other, 0, f.at)
	f.crash(instance, parts)
	if isLost && !refused && !f.at.Before(now.Add(f.traffic.soundFrom)) {
		instance.RecordCrash(detector.Crash{Request: other, Marks: marks, Endpoint: fmt.Sprint(f.losses)}, f.at)
	}
}

func (f *fleet) sendSound(instance *detector.Detector, parts []string, crashes bool) {
	_, refused := instance.Find(prompt(parts...), 0, f.at)
	if len(f.crashes) > 0 && f.at.After(f.crashes[min(len(f.crashes), 5)-1].Add(2*contactTime)) {
		f.asked++
		if refused {
			f.refused++
		}
	}
	switch {
	case refused:
	case crashes:
		f.crash(instance, parts)
	default:
		instance.RecordAnswer(prompt(parts...), f.at)
	}
}

func (f *fleet) crash(instance *detector.Detector, parts []string) {
	f.losses++
	request := prompt(parts...)
	instance.RecordCrash(detector.Crash{Request: request, Marks: instance.Marks(request, f.at), Endpoint: fmt.Sprint(f.losses)}, f.at)
}

// fleets is how many fleets TestSoundPartsBesideACrashingOne simulates.
var fleets = flag.Int("fleets", 60, "simulated fleets")

// Guards against refusing sound parts that are in the prompts of a crashing one, or that
// are lost for other reasons, and against trials that crash too many endpoints.
func TestSoundPartsBesideACrashingOne(t *testing.T) {
	for seed := range uint64(*fleets) {
		random := rand.New(rand.NewPCG(seed, 0))
		load := traffic{
			badRate: 0.02 + 0.98*random.Float64(), soundRate: 0.02 + 0.98*random.Float64(),
			soundFrom:    time.Duration(random.IntN(30)) * time.Second,
			otherCrashes: []float64{0, 0.02, 0.05}[random.IntN(3)],
			bystanders:   []float64{0, 0.3, 1}[random.IntN(3)],
			instances:    1 + random.IntN(3),
		}
		load.setPrompts(1+random.IntN(3), random.IntN(3))
		f := newFleet(load)
		f.run(random.Float64)
		if f.late > 3 || f.asked >= 20 && 2*f.refused > f.asked {
			t.Errorf("seed %d: %d prompts with the bad part were sent late, %d of %d sound ones refused, %d crashes, %+v", seed, f.late, f.refused, f.asked, len(f.crashes), load)
		}
	}
}
