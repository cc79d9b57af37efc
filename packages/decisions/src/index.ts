/** The decisions about calls: which target, how many, when to refuse. */

export type {LoadReport} from './target/load-report.js';
export type {Outcome, OutcomeKind} from './target/outcome.js';
export {TargetState} from './target/target-state.js';
export type {ChoiceContext, TargetChoice} from './choice/target-choice.js';
export {chooseOfTwo} from './choice/two-choices.js';
export type {
	Call,
	Decision,
	Grant,
	Refusal,
	Settlement,
	Wait,
} from './dispatch/call.js';
export {
	ServiceDispatcher,
	type ServiceDispatcherOptions,
} from './dispatch/service-dispatcher.js';
