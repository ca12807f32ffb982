package daemon

// OutcomeQuery and AnswerOutcome are the answering side of an owner.
type OutcomeQuery = outcomeQuery

// AnswerOutcome answers a query as the owner self.
var AnswerOutcome = answerOutcome
