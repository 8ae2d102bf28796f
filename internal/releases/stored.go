package releases

import (
	"maps"
	"slices"
)

// release is a version of a service's software.
type release struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"`
}

// complete reports whether the history holds all versions that may have begun streams.
func (s Stored) complete() bool { return s.Epoch == s.StoreEpoch }

// precedes reports whether the history is an earlier one than another.
func (s Stored) precedes(o Stored) bool {
	if s.StoreEpoch != o.StoreEpoch {
		return s.StoreEpoch < o.StoreEpoch
	}
	return s.Revision < o.Revision
}

// clone returns a copy that shares nothing.
func (s Stored) clone() Stored {
	s.Versions, s.Removing = maps.Clone(s.Versions), maps.Clone(s.Removing)
	for service, list := range s.Versions {
		s.Versions[service] = slices.Clone(list)
	}
	for service, marks := range s.Removing {
		s.Removing[service] = maps.Clone(marks)
	}
	return s
}

// holds reports whether the history has a version that is not about to be removed.
func (s Stored) holds(r release) bool {
	_, removing := s.Removing[r.Service][r.Software]
	return !removing && s.lists(r)
}

// lists reports whether the history has a version.
func (s Stored) lists(r release) bool { return slices.Contains(s.Versions[r.Service], r.Software) }

// all returns all versions of all services.
func (s Stored) all() (list []release) {
	for service, versions := range s.Versions {
		for _, software := range versions {
			list = append(list, release{service, software})
		}
	}
	return list
}

// add adds a version, and takes back that it is to be removed. It reports whether that changed
// anything.
func (s *Stored) add(r release) (changed bool) {
	if s.holds(r) {
		return false
	}
	s.unmark(r)
	list := s.Versions[r.Service]
	if at, found := slices.BinarySearch(list, r.Software); !found {
		if s.Versions == nil {
			s.Versions = map[string][]string{}
		}
		s.Versions[r.Service] = slices.Insert(list, at, r.Software)
	}
	return true
}

// mark says that a version is to be removed. Marks differ as the revisions that they replace do.
func (s *Stored) mark(r release) {
	if s.Removing == nil {
		s.Removing = map[string]map[string]int64{}
	}
	if s.Removing[r.Service] == nil {
		s.Removing[r.Service] = map[string]int64{}
	}
	s.Removing[r.Service][r.Software] = s.Revision
}

func (s *Stored) unmark(r release) {
	delete(s.Removing[r.Service], r.Software)
	if len(s.Removing[r.Service]) == 0 {
		delete(s.Removing, r.Service)
	}
}

func (s *Stored) remove(r release) {
	s.unmark(r)
	list := s.Versions[r.Service]
	s.Versions[r.Service] = slices.DeleteFunc(list, func(software string) bool { return software == r.Software })
}
