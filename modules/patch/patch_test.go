package patch

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// document returns a text of n lines of random names, the same for a seed.
func document(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"name":"r-%x","pathPrefix":"/%x/","keys":["%x"]},`, rng.Uint32(), rng.Uint32(), rng.Uint64())
	}
	return b.Bytes()
}

// TestSmallChange checks that the patch of a large document with one change is a small fraction of
// the document.
func TestSmallChange(t *testing.T) {
	is := is.New(t)
	base := document(2000, 7)
	value := bytes.Replace(base, []byte(`"name":"r-`), []byte(`"name":"new-`), 1)
	p, err := Make(base, value)
	is.NoErr(err)
	is.True(len(value) > 100000)
	is.True(len(p) < 1000)
	out, err := Apply(base, p, len(value))
	is.NoErr(err)
	is.True(bytes.Equal(out, value))
}

// TestAnyTexts checks that a patch restores the value from any base, and that of another base or a
// damaged one never gives another value.
func TestAnyTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.Byte(), 0, 300)
		base, value, other := texts.Draw(t, "base"), texts.Draw(t, "value"), texts.Draw(t, "other")
		p, err := Make(base, value)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Apply(base, p, 1000)
		if err != nil || !bytes.Equal(out, value) {
			t.Fatalf("%x %v", out, err)
		}
		if _, err := Apply(other, p, 1000); !bytes.Equal(other, base) && !errors.Is(err, ErrBaseMismatch) {
			t.Fatalf("another base: %v", err)
		}
		i := rapid.IntRange(0, len(p)-1).Draw(t, "i")
		p[i] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if out, err := Apply(base, p, 1000); err == nil && !bytes.Equal(out, value) {
			t.Fatalf("damaged patch gives %x", out)
		}
	})
}

// TestSizes checks bases beyond the window, and that a result above the limit is an error.
func TestSizes(t *testing.T) {
	is := is.New(t)
	large := document(12000, 9)
	is.True(len(large) > maxWindow)
	for _, base := range [][]byte{nil, large, document(10, 3)} {
		p, err := Make(base, large)
		is.NoErr(err)
		out, err := Apply(base, p, len(large))
		is.NoErr(err)
		is.True(bytes.Equal(out, large))
		_, err = Apply(base, p, len(large)-1)
		is.True(errors.Is(err, ErrInvalid))
	}
	_, err := Apply(nil, nil, 100)
	is.True(errors.Is(err, ErrInvalid))
}

// BenchmarkPatch measures a patch of a document of a hundred kilobytes.
func BenchmarkPatch(b *testing.B) {
	base := document(2000, 7)
	value := bytes.Replace(base, []byte(`"name":"r-`), []byte(`"name":"new-`), 1)
	b.ReportAllocs()
	for b.Loop() {
		p, err := Make(base, value)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Apply(base, p, 1<<20); err != nil {
			b.Fatal(err)
		}
	}
}
