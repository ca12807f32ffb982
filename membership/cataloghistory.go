package membership

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// maxKeptCatalogs is the number of latest catalogs that are kept to make changes from.
	// They share what did not change.
	maxKeptCatalogs = 16
	// maxChangeBytes bounds the size of a decoded change.
	maxChangeBytes = 16 << 20
)

// catalogHistory makes the encoded changes from earlier versions of the configuration to the
// newest one. It is safe for concurrent use.
type catalogHistory struct {
	mu sync.Mutex
	// catalogs holds the latest catalogs, the newest one last.
	catalogs []*catalog.Catalog
	// encoded holds the changes to the newest catalog by the version from which they start.
	encoded map[int64][]byte
}

// add adds a newer catalog. change, if not nil, is the encoded change to it from the version
// from.
func (h *catalogHistory) add(c *catalog.Catalog, from int64, change []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalogs = append(h.catalogs, c)
	if len(h.catalogs) > maxKeptCatalogs {
		h.catalogs = slices.Delete(h.catalogs, 0, 1)
	}
	h.encoded = map[int64][]byte{}
	if change != nil {
		h.encoded[from] = change
	}
}

// changeFrom returns the encoded change from a version to the newest one, or from none if the
// version is not kept, and the newest version. It returns 0 before the first catalog.
func (h *catalogHistory) changeFrom(version int64) ([]byte, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.catalogs) == 0 {
		return nil, 0, nil
	}
	newest := h.catalogs[len(h.catalogs)-1]
	var before *catalog.Catalog
	if i := slices.IndexFunc(h.catalogs, func(c *catalog.Catalog) bool { return c.Version == version }); i >= 0 {
		before = h.catalogs[i]
	} else {
		version = 0
	}
	if b, ok := h.encoded[version]; ok {
		return b, newest.Version, nil
	}
	b, err := encodeChange(catalog.Diff(before, newest))
	if err != nil {
		return nil, 0, err
	}
	h.encoded[version] = b
	return b, newest.Version, nil
}

// encodeChange returns the change in compressed CBOR.
func encodeChange(c catalog.Change) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	if err := cbor.NewEncoder(w).Encode(c); err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	return b.Bytes(), nil
}

// decodeChange decodes the result of encodeChange.
func decodeChange(b []byte) (catalog.Change, error) {
	var c catalog.Change
	decoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxChangeBytes+1))
	if err == nil && len(decoded) > maxChangeBytes {
		err = cicadapitch.NewError(cicadapitch.Invalid, "the change of the configuration is too large", "fetch the whole configuration")
	}
	if err == nil {
		err = changeDecoder.Unmarshal(decoded, &c)
	}
	return c, cicadapitch.Wrap(err)
}

// changeDecoder decodes changes of up to maxChangeBytes.
var changeDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxChangeBytes, MaxMapPairs: maxChangeBytes}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()
