package catalog

// Row is an aggregate in a snapshot.
type Row struct {
	Noun   string  `cbor:"1,keyasint"`
	Name   string  `cbor:"2,keyasint"`
	Fields []Field `cbor:"3,keyasint"`
}

// Rows returns all aggregates of the catalog in the order of Nouns, so that
// references point to earlier rows.
func (c *Catalog) Rows() []Row {
	var rows []Row
	for _, noun := range Nouns() {
		for _, name := range c.Names(noun) {
			rows = append(rows, Row{Noun: noun, Name: name, Fields: c.find(noun, name).fields()})
		}
	}
	return rows
}

// FromRows rebuilds a catalog from the rows of a snapshot taken at revision.
func FromRows(revision int64, rows []Row) (*Catalog, error) {
	c := New()
	for _, r := range rows {
		change := Change{Verb: VerbCreate, Noun: r.Noun, Name: r.Name, To: r.Fields}
		if err := c.apply(change); err != nil {
			return nil, Error.New("snapshot %d: %s %q: %v", revision, r.Noun, r.Name, err)
		}
	}
	c.Revision = revision
	c.index()
	return c, nil
}
