package admission

import (
	"testing"

	"aspenshed/internal/experiment/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, "300") }
