package gossip

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/klauspost/compress/zstd"

	"hingewinch.org/hingewinch/state/feed"
)

// maxRetainedBytes is how much memory a compressor and a decompressor may retain together between two
// responses: a twenty-fifth of the 25 MB that a daemon may use.
const maxRetainedBytes = 1 << 20

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func manyDocuments(n int) *Documents {
	d := &Documents{Revision: 9}
	for i := range n {
		x := uint64(i+1) * 0x9e3779b97f4a7c15 // makes ids and addresses dissimilar
		d.Items = append(d.Items, feed.Item{
			Key: fmt.Sprintf("servers/i-%010x", x>>24), Revision: feed.Revision(i),
			Value: []byte(fmt.Sprintf(`{"service":"s%d","address":"10.%d.%d.%d:%d","zone":"z%d","slots":6,"state":"ready","sequence":%d,"born":17%d}`,
				i%7, x%9, x>>8%250, x>>16%250, 8000+x>>32%999, i%11, x>>40%1000, x>>33)),
		})
	}
	return d
}

// TestCompressorsRetainLittleMemory guards against pooled compressors that retain megabytes between
// responses: a fleet of hundreds of daemons on one machine ran out of memory.
func TestCompressorsRetainLittleMemory(t *testing.T) {
	for _, n := range []int{1, 10000} {
		plain, err := encodeDocuments(manyDocuments(n))
		if err != nil {
			t.Fatal(err)
		}
		before := heapBytes()
		w, err := newEncoder()
		if err != nil {
			t.Fatal(err)
		}
		r, err := newDecoder()
		if err != nil {
			t.Fatal(err)
		}
		packed := w.EncodeAll(plain, nil)
		size := len(packed)
		if _, err := r.DecodeAll(packed, nil); err != nil {
			t.Fatal(err)
		}
		packed = nil
		retained := heapBytes() - before
		t.Logf("%d documents: %d bytes compressed to %d, %d bytes retained", n, len(plain), size, retained)
		if retained > maxRetainedBytes {
			t.Errorf("%d documents: %d bytes are retained between two responses, want %d at most", n, retained, maxRetainedBytes)
		}
		runtime.KeepAlive(w)
		runtime.KeepAlive(r)
		runtime.KeepAlive(plain)
	}
}

// TestWindowOfPreviousBuildIsDecompressed decodes a response that was compressed with the larger window
// of the previous build.
func TestWindowOfPreviousBuildIsDecompressed(t *testing.T) {
	d := manyDocuments(10000)
	plain, err := encodeDocuments(d)
	if err != nil {
		t.Fatal(err)
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(maxWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeDocuments(w.EncodeAll(plain, nil))
	if err != nil || len(got.Items) != len(d.Items) {
		t.Fatalf("%d documents, %v", len(got.Items), err)
	}
}
