package soaker

import (
	"testing"

	"papayaseam/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }
