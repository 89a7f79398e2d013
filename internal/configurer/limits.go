package configurer

import "papayaseam/internal/limiter"

const (
	minMemoryMB    = 16
	minDescriptors = 64
	maxDescriptors = 10_000_000
	maxRate        = 1 << 30
)

// limits reads the bounds on what clients can make the process hold. The memory of a process
// that serves endpoints without side processes is set in its own section.
func (r reader) limits(direct bool) limiter.Bounds {
	const section = "process"
	b := limiter.NewBounds()
	memory := section
	if direct {
		memory = "direct"
	}
	b.MemoryMB = r.Int(memory, "memory-mb", b.MemoryMB, minMemoryMB, maxKeepMB)
	// A template leaves the key empty where the deployment declares no limit.
	if r.Text(section, "max-descriptors", "") != "" {
		b.MaxDescriptors = r.Int(section, "max-descriptors", b.MaxDescriptors, minDescriptors, maxDescriptors)
	}
	b.PerAddress = r.Int(section, "max-connections-per-address", b.PerAddress, 0, maxDescriptors)
	b.HeadTime = r.duration(section, "head-timeout-ms", b.HeadTime)
	b.IdleTime = r.duration(section, "idle-timeout-ms", b.IdleTime)
	b.BodyTime = r.duration(section, "body-timeout-ms", b.BodyTime)
	b.MinRate = r.Int(section, "min-body-rate", b.MinRate, 1, maxRate)
	b.WriteTime = r.duration(section, "write-timeout-ms", b.WriteTime)
	for key, value := range map[string]bool{
		"head-timeout-ms": b.HeadTime == 0, "idle-timeout-ms": b.IdleTime == 0, "body-timeout-ms": b.BodyTime == 0, "write-timeout-ms": b.WriteTime == 0,
	} {
		if value {
			r.Fail(section, key, "%s must be above 0; leave it out for the default", key)
		}
	}
	return b
}
