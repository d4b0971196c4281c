package known_red

import "testing"

func TestOne(t *testing.T) {
	for _, name := range []string{"seed=1", "seed=10", "share=0.5/seed=1", "share=0x5"} {
		t.Run(name, func(*testing.T) {})
	}
}

func TestOneMore(*testing.T) {}

func TestChangeAfterConnectionsWentSilent(*testing.T) {}

func TestChangeAfterStoreConnectionsWentSilent(*testing.T) {}
