package membership

import "cicadapitch.example/cicadapitch"

// KnowledgeAge returns how old this host's knowledge of the endpoints is, and false if it has
// none.
func (m *Membership) KnowledgeAge() (cicadapitch.Millis, bool) {
	return m.knowledge.Age(m.clock.Now())
}

// confirmKnowledge records that all changes of endpoints up to a revision are applied, which was
// the store's latest when it answered a question asked at askedAt.
func (m *Membership) confirmKnowledge(askedAt cicadapitch.Instant, revision cicadapitch.StoreRevision) {
	m.knowledge.Advance(revision)
	m.knowledge.Confirm(askedAt, revision)
}
