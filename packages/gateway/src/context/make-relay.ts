/** Wires up the relay, which forwards requests from callers to targets. */

import type {
	Clock,
	Digest,
	RandomSource,
	ServiceName,
} from '@bilberryscale/core';
import type {CrashSuspects} from '@bilberryscale/decisions';
import type {ServiceCapacity} from '../capacity/service-capacity.js';
import {FullTargetBehaviour} from '../choice/full-target-behaviour.js';
import type {AllotmentGate} from '../accounts/allotment-gate.js';
import {ReturnSchedules} from '../capacity/return-schedules.js';
import {AccountCheck} from '../accounts/account-check.js';
import {LastSlotFactor} from '../choice/last-slot-factor.js';
import {Spillover} from '../choice/spillover.js';
import {TargetProber} from '../choice/target-prober.js';
import {TargetPicker} from '../choice/target-picker.js';
import type {Forwarder} from '../forwarding/forwarder.js';
import type {PlanHolder} from '../plan/plan-holder.js';
import {TrafficSplitter} from '../plan/traffic-splitter.js';
import {writeSpilloverChange} from '../records/write-spillover-change.js';
import {RequestRecorder} from '../records/request-recorder.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {ReturningCallerDetector} from '../relay/returning-caller-detector.js';
import {RequestReader} from '../relay/request-reader.js';
import {Relay} from '../relay/relay.js';
import {AttemptDispatcher} from '../relay/attempt-dispatcher.js';
import {SilenceDetector} from '../relay/silence-detector.js';
import {ServiceTimes} from '../relay/service-times.js';
import {RetryAllowance} from '../relay/retry-allowance.js';
import {ShutdownLimit} from '../relay/shutdown-limit.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {LiveSettings} from './live-settings.js';
import type {SharedLimits} from './shared-limits.js';
import {
	makeHedgedDispatcher,
	type HedgingOptions,
} from './make-hedged-dispatcher.js';

/** The objects and callbacks that the relay shares with the rest of the host. */
export type RelayDependencies = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly settings: LiveSettings;
	readonly protocol: TargetProtocol;
	readonly targetRegistry: TargetRegistry;
	readonly capacity: ServiceCapacity;
	readonly forwarder: Forwarder;
	readonly plans: PlanHolder;
	/** The rate limits of client accounts. */
	readonly allotments: AllotmentGate;
	readonly retries: Pick<SharedLimits, 'budgets' | 'loans'>;
	/** The requests that may have crashed targets. */
	readonly crashSuspects: CrashSuspects;
	readonly getHostCount: () => number;
	/** Gets the time since the store confirmed the published state, in milliseconds. */
	readonly getSnapshotAgeMs: () => number;
	readonly isShuttingDown: () => boolean;
	/** Gets when open requests are ended because the host shuts down, on the monotonic clock, in milliseconds; infinite before. */
	readonly getShutdownMs: () => number;
	/** Gets until when the shutdown lets requests be sent on an estimate, on the monotonic clock, in milliseconds; infinite before. */
	readonly getEstimatesUntilMs: () => number;
	/** How hedged requests are sent; undefined for none. */
	readonly hedging: HedgingOptions | undefined;
	/** Probes a target. */
	readonly probe: (state: TargetState) => void;
	/** Called when a connection broke while it carried a request; calls back if the target has crashed. */
	readonly onConnectionBroken: (
		state: TargetState,
		signature: Digest,
		onCrashConfirmed: () => void,
	) => void;
	/** Called when a target failed a request. */
	readonly onFailure: (state: TargetState) => void;
};

/**
 * Builds the relay and the objects that only it uses.
 *
 * @param dependencies - The objects it shares with the rest of the host.
 * @returns The relay.
 */
export function makeRelay(dependencies: RelayDependencies): Relay {
	const {clock, random, log, metrics, settings, protocol, plans} = dependencies;
	const {targetRegistry, crashSuspects, getHostCount, isShuttingDown, probe} =
		dependencies;
	const {host, dataCentre} = settings.current;
	const lastSlotFactor = new LastSlotFactor();
	const fullTargets = new FullTargetBehaviour(clock, (service, limit) => {
		const {maxQueued} = limit;
		const isHanging = Number.isFinite(maxQueued);
		log.write('full targets judged', {
			service,
			isHanging,
			maxQueued: isHanging ? maxQueued : undefined,
			answered: Math.round(limit.answered),
			refused: Math.round(limit.refused),
			hung: Math.round(limit.hung),
		});
	});
	const serviceTimes = new ServiceTimes();
	const shutdownLimit = new ShutdownLimit({
		clock,
		serviceTimes,
		getShutdownMs: dependencies.getShutdownMs,
		getEstimatesUntilMs: dependencies.getEstimatesUntilMs,
	});
	const hasPriorityClasses = (service: ServiceName) =>
		plans.plan?.prioritizedServices.has(service) ?? false;
	const returnSchedules = new ReturnSchedules({
		clock,
		random,
		log,
		metrics,
		hasPriorityClasses,
	});
	const prober = new TargetProber({
		clock,
		random,
		log,
		registry: targetRegistry,
		protocol,
		host,
		dataCentre,
		getProbesPerTargetSecond: () => settings.current.questionsPerTargetSecond,
		getHostCount,
		onFarProbes(service, count) {
			metrics.recordFarProbes(service, count);
		},
	});
	const recorder = new RequestRecorder({
		log,
		metrics,
		getPlanVersion: () => plans.plan?.version,
		getNowMs: () => clock.monotonicMs(),
	});
	const dispatcher = new AttemptDispatcher({
		clock,
		serviceTimes,
		shutdownLimit,
		lastSlotFactor,
		fullTargets,
		recorder,
		protocol,
		crashSuspects,
		silenceDetector: new SilenceDetector({
			clock,
			probe,
			isPaused: isShuttingDown,
		}),
		onNotice(state, notice, namesRequest) {
			targetRegistry.addAvailability(
				state,
				notice,
				namesRequest ? 'attempt' : undefined,
			);
		},
		onConnectionBroken: dependencies.onConnectionBroken,
		onTargetFailure: dependencies.onFailure,
	});
	const accountCheck = new AccountCheck({
		plans,
		credentialHeader: protocol.credentialHeader,
		getMaxAgeMs: () => settings.current.maxAccountsAgeMs,
		getAgeMs: dependencies.getSnapshotAgeMs,
		onRefusal(incoming, refusal, plan) {
			const ageMs = dependencies.getSnapshotAgeMs();
			recorder.recordAccountRefusal(incoming, refusal, plan, ageMs);
		},
	});
	return new Relay({
		clock,
		accountCheck,
		picker: new TargetPicker({
			clock,
			registry: targetRegistry,
			prober,
			capacity: dependencies.capacity,
			metrics,
			spillover: new Spillover(clock, (service, stage, inputs) => {
				writeSpilloverChange(log, service, stage, inputs);
			}),
			hasCapacityManagement: hasPriorityClasses,
			onFarSend(service) {
				metrics.recordFarSend(service);
			},
			lastSlotFactor,
			fullTargets,
			dataCentre,
		}),
		reader: new RequestReader({
			clock,
			trafficSplitter: new TrafficSplitter(random),
			returningCallerDetector: new ReturningCallerDetector(),
			deadlineHeader: protocol.deadlineHeader,
			plans,
			bookReturn: ({exchange, route, service, priority}, remainingMs) =>
				returnSchedules.book({
					requestId: exchange.incoming.requestId,
					service,
					rank: priority,
					remainingMs,
					serviceTimeMs: serviceTimes.getMs(route.name, route.targetLatencyMs),
				}),
			accountCheck,
			getSnapshotAgeMs: dependencies.getSnapshotAgeMs,
			getMaxChangeDelayMs: () => settings.current.maxChangeDelayMs,
			shutdownLimit,
		}),
		dispatcher,
		hedging:
			dependencies.hedging &&
			makeHedgedDispatcher({
				...dependencies,
				hedging: dependencies.hedging,
				dispatcher,
				prober,
				lastSlotFactor,
				serviceTimes,
				recorder,
				dataCentre,
				accountCheck,
			}),
		forwarder: dependencies.forwarder,
		allotments: dependencies.allotments,
		registry: targetRegistry,
		returnSchedules,
		serviceTimes,
		recorder,
		isShuttingDown,
		shutdownLimit,
		retryAllowance: new RetryAllowance({
			clock,
			budgets: dependencies.retries.budgets,
			loans: dependencies.retries.loans,
			capacity: dependencies.capacity,
			recorder,
		}),
	});
}
