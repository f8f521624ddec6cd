package memory

import "testing"

// TestDescriptorsAddUpToMore: the connections of callers, of the four other listeners and to endpoints fit in the descriptors,
// with room for the process itself.
func TestDescriptorsAddUpToMore(t *testing.T) {
	for _, descriptors := range []int{128, 256, 1024, 2870, 4100, 8192, maxUnstatedDescriptors} {
		m := Machine{Bytes: 1 << 40, Descriptors: descriptors}
		if sum := m.CallerConns() + 4*m.OtherConns() + m.EndpointConns(); sum+baseDescriptors > descriptors {
			t.Errorf("%d descriptors: %d connections and %d of the process", descriptors, sum, baseDescriptors)
		}
		relayed := m.RelayedRequests(1 << 20)
		if sum := 2*m.CallerConns() + m.OtherConns() + relayed; relayed < 1 || sum+baseDescriptors > descriptors {
			t.Errorf("%d descriptors, one connection a request: %d connections, of them %d of relayed requests", descriptors, sum, relayed)
		}
	}
}
