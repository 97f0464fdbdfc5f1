package interference_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// sampleGap is the time between two samples of a task.
const sampleGap = 700 * time.Millisecond

// Guards against blaming an image that does no harm because it often runs beside one that does.
func TestHarmlessImageIsBlamedForItsNeighbour(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := interference.NewPressure()
	now := time.Unix(0, 0)
	load := interference.NewLoad(now)
	for range 3000 {
		now = now.Add(sampleGap)
		uses := interference.Uses{}
		if random.IntN(2) == 0 {
			uses["harmful"] = 0.05 + 0.1*random.Float64()
		}
		if random.IntN(3) > 0 {
			uses["harmless"] = 0.05 + 0.1*random.Float64()
		}
		own := 0.35 + 0.1*random.Float64()
		p.Observe(now, "serving", load, 0.222/(1-min(own+2.5*uses["harmful"], 0.98)), uses)
	}
	assert.Assert(t, p.Weight("harmful", "serving") > 2, "weight %f", p.Weight("harmful", "serving"))
	assert.Assert(t, p.Weight("harmless", "serving") < 0.5, "weight %f", p.Weight("harmless", "serving"))
	assert.Assert(t, load.At(now) > 0.3 && load.At(now) < 0.5, "load %f", load.At(now))
}

// Guards against a weight that outlives the harm, which would keep an image from workers that suit it again. The task
// is alone in every other sample, since a use that never changes can't be told from the task's own load.
func TestWeightFollowsImageThatBecomesHarmless(t *testing.T) {
	p := interference.NewPressure()
	uses := interference.Uses{"filling": 0.1}
	now := time.Unix(0, 0)
	load := interference.NewLoad(now)
	observe := func(samples int, tail float64) {
		for range samples {
			now = now.Add(sampleGap)
			p.Observe(now, "serving", load, 0.38, nil)
			p.Observe(now, "serving", load, tail, uses)
		}
	}
	observe(20, 2)
	assert.Assert(t, p.Weight("filling", "serving") > 3, "weight %f", p.Weight("filling", "serving"))
	observe(200, 0.4)
	assert.Assert(t, p.Weight("filling", "serving") < 1, "weight %f", p.Weight("filling", "serving"))
}

func TestSampleWithoutMeasurementIsIgnored(t *testing.T) {
	p := interference.NewPressure()
	now := time.Unix(0, 0)
	load := interference.NewLoad(now)
	p.Observe(now, "serving", load, 0, interference.Uses{"filling": 0.5})
	assert.Equal(t, load.At(now), interference.StartLoad)
	assert.Equal(t, p.Weight("filling", "serving"), interference.NewPressure().Weight("filling", "serving"))
}

// Guards against harm that is found only when the load of a serving task has passed: loads swing by half of their mean
// within ten seconds, and the tasks of a step on several workers are samples of the same load.
func TestSwingOfTheLoadIsTakenForHarm(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	p := interference.NewPressure()
	now := time.Unix(0, 0)
	load := interference.NewLoad(now)
	weights := map[string]float64{"mild": 0.15, "harmful": 2.8}
	worst := 0.0
	for i := range 600 {
		now = now.Add(sampleGap / 6)
		own := 0.42 + 0.21*math.Sin(2*math.Pi*now.Sub(time.Unix(0, 0)).Seconds()/10)
		uses := interference.Uses{}
		switch i % 6 {
		case 0, 1, 2:
			uses["mild"] = 0.4
		case 3:
			uses["harmful"] = 0.08
		}
		tail := 0.222 / (1 - min(own+weights["mild"]*uses["mild"]+weights["harmful"]*uses["harmful"], 0.98))
		p.Observe(now, "serving", load, tail*(1+0.1*random.NormFloat64()), uses)
		if i > 60 {
			worst = max(worst, math.Abs(load.At(now)-own))
		}
	}
	assert.Assert(t, worst < 0.12, "load is off by %f", worst)
	assert.Assert(t, p.Weight("mild", "serving") < 0.4, "weight %f", p.Weight("mild", "serving"))
	assert.Assert(t, p.Weight("harmful", "serving") > 2, "weight %f", p.Weight("harmful", "serving"))
}

// Guards against an owner that learns anew, at its serving tasks' cost, what another one knows; and against one that gives
// up what it knows better itself.
func TestKnowledgeOfAnotherOwnerIsLost(t *testing.T) {
	now := time.Unix(0, 0)
	teacher, pupil := interference.NewPressure(), interference.NewPressure()
	teach := func(p *interference.Pressure, weight float64, samples int) {
		load := interference.NewLoad(now)
		for range samples {
			now = now.Add(sampleGap)
			p.Observe(now, "serving", load, 0.222/(1-0.42), nil)
			p.Observe(now, "serving", load, 0.222/(1-0.42-0.1*weight), interference.Uses{"filling": 0.1})
		}
	}
	teach(teacher, 2.8, 40)
	assert.Equal(t, pupil.Adopt(now, teacher.Known(now)), 1)
	assert.Assert(t, pupil.Weight("filling", "serving") > 2, "weight %f", pupil.Weight("filling", "serving"))
	assert.Equal(t, pupil.Adopt(now, teacher.Known(now)), 0, "nothing new is adopted again")
	teach(pupil, 0.2, 80)
	assert.Equal(t, pupil.Adopt(now, teacher.Known(now)), 0, "what is known better stays")
}
