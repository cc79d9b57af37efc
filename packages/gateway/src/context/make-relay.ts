/** Builds the way of a request out of its parts. */

import type {Clock, Digest, RandomSource} from '@bilberryscale/core';
import type {CrashSuspects} from '@bilberryscale/decisions';
import {LastSlotFactor} from '../choice/last-slot-factor.js';
import {TargetProber} from '../choice/target-prober.js';
import {TargetPicker} from '../choice/target-picker.js';
import type {PlanHolder} from '../plan/plan-holder.js';
import {SplitPicker} from '../plan/split-picker.js';
import {CallJournal} from '../records/call-journal.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {CallerPatience} from '../relay/caller-patience.js';
import {CallReader} from '../relay/call-reader.js';
import {Relay} from '../relay/relay.js';
import {SendDesk} from '../relay/send-desk.js';
import {SilenceWatch} from '../relay/silence-watch.js';
import {WorkTimes} from '../relay/work-times.js';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetProtocol} from '../targets/target-protocol.js';
import type {TargetState} from '../targets/target-state.js';
import type {LiveSettings} from './live-settings.js';

/** What the way of a request shares with the rest of the host. */
export type RelayParts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly metrics: GatewayMetrics;
	readonly settings: LiveSettings;
	readonly protocol: TargetProtocol;
	readonly book: TargetRegistry;
	readonly plans: PlanHolder;
	/** The requests that may have crashed targets. */
	readonly suspects: CrashSuspects;
	readonly getHostCount: () => number;
	readonly isLeaving: () => boolean;
	/** Asks a target how it is. */
	readonly ask: (state: TargetState) => void;
	/** Told when a connection broke under a request. */
	readonly onBroken: (state: TargetState, signature: Digest) => void;
	/** Told when a target failed a request. */
	readonly onFailure: (state: TargetState) => void;
};

/**
 * Builds the relay.
 *
 * @param parts - What it shares with the rest of the host.
 * @returns The relay.
 */
export function makeRelay(parts: RelayParts): Relay {
	const {clock, random, log, metrics, settings, protocol, plans} = parts;
	const {book, suspects, getHostCount, isLeaving, ask} = parts;
	const {host, dataCentre} = settings.current;
	const lastSlot = new LastSlotFactor();
	const workTimes = new WorkTimes();
	const asker = new TargetProber({
		clock,
		random,
		log,
		registry: book,
		protocol,
		host,
		dataCentre,
		getProbesPerTargetSecond: () => settings.current.questionsPerTargetSecond,
		getHostCount,
	});
	const journal = new CallJournal({
		log,
		metrics,
		getPlanVersion: () => plans.plan?.version,
		getNowMs: () => clock.monotonicMs(),
	});
	return new Relay({
		clock,
		picker: new TargetPicker({
			clock,
			registry: book,
			prober: asker,
			lastSlotFactor: lastSlot,
			dataCentre,
		}),
		reader: new CallReader({
			clock,
			splits: new SplitPicker(random),
			patience: new CallerPatience(),
			deadlineHeader: protocol.deadlineHeader,
			plans,
		}),
		desk: new SendDesk({
			clock,
			workTimes,
			lastSlot,
			journal,
			protocol,
			suspects,
			silenceWatch: new SilenceWatch({clock, ask, isPaused: isLeaving}),
			onBroken: parts.onBroken,
			onFailure: parts.onFailure,
		}),
		workTimes,
		journal,
		getRetryBound: () => settings.current.retryBound,
		getHostCount,
	});
}
