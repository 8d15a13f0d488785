package publication_test

import (
	"testing"

	"aspenshed/internal/experiment/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, "2000") }
