package interference_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumridge/laburnumridge/internal/interference"
)

// Guards against blaming an image that does no harm because it often runs beside one that does.
func TestHarmlessImageIsBlamedForItsNeighbour(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := interference.NewPressure()
	for range 2000 {
		uses := interference.Uses{}
		if random.IntN(2) == 0 {
			uses["harmful"] = 0.05 + 0.1*random.Float64()
		}
		if random.IntN(3) > 0 {
			uses["harmless"] = 0.05 + 0.1*random.Float64()
		}
		alone := 0.35 + 0.1*random.Float64()
		p.Observe("serving", alone/(1-5*uses["harmful"]), uses)
	}
	assert.Assert(t, p.Weight("harmful", "serving") > 3, "weight %f", p.Weight("harmful", "serving"))
	assert.Assert(t, p.Weight("harmless", "serving") < 1.5, "weight %f", p.Weight("harmless", "serving"))
}

// Guards against a weight that outlives the harm, which would keep an image from workers that suit it again.
func TestWeightFollowsImageThatBecomesHarmless(t *testing.T) {
	p := interference.NewPressure()
	uses := interference.Uses{"filling": 0.1}
	for range 50 {
		p.Observe("serving", 2, uses)
	}
	assert.Assert(t, p.Tail("serving", uses) > 1)
	for range 50 {
		p.Observe("serving", 0.42, uses)
	}
	assert.Assert(t, p.Tail("serving", uses) < 0.6)
}

func TestSampleWithoutMeasurementIsIgnored(t *testing.T) {
	p := interference.NewPressure()
	p.Observe("serving", 0, interference.Uses{"filling": 0.5})
	assert.Equal(t, p.Weight("filling", "serving"), 0.0)
}
