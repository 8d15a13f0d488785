package measure

import (
	"errors"
	"testing"
)

func TestLeastSquares(t *testing.T) {
	f, err := LeastSquares([]Point{{0, 1}, {1, 3}, {2, 5}})
	if err != nil || f.Slope != 2 || f.Intercept != 1 || f.MaxResidual > 1e-12 || f.At(10) != 21 {
		t.Errorf("%+v %v", f, err)
	}
	if f, err := LeastSquares([]Point{{0, 4}, {5, 4}}); err != nil || f.Slope != 0 || f.R2 != 1 {
		t.Errorf("horizontal line: %+v %v", f, err)
	}
	if _, err := LeastSquares([]Point{{3, 1}, {3, 2}}); !errors.Is(err, ErrTooFewPoints) {
		t.Errorf("a single x: %v", err)
	}
}
