/** Keeps the requests of all hosts to cold targets within the limits that their services publish. */

import type {ServiceName, TargetId} from '@bilberryscale/core';
import type {RegisteredTarget} from '../plan/registered-target.js';
import type {EventLog} from '../records/event-log.js';
import type {GatewayMetrics} from '../records/gateway-metrics.js';
import {ColdTarget, type ColdTargetOptions} from './cold-target.js';
import type {WarmUpGate} from './warm-up-gate.js';
import type {
	PermitReply,
	PermitRequest,
	WarmUpMessage,
} from './warm-up-message.js';
import {
	isUsable,
	makeWarmUpPermit,
	type WarmUpPermit,
} from './warm-up-permit.js';

/** This host, the others and the limits. */
export type WarmUpLimiterOptions = Omit<ColdTargetOptions, 'id' | 'service'> & {
	readonly log: Pick<EventLog, 'write'>;
	readonly metrics: Pick<GatewayMetrics, 'recordWarmUpPermit'>;
	readonly send: (address: string, message: WarmUpMessage) => void;
};

/** A target, as the limiter identifies it. */
type LimitedTarget = Pick<RegisteredTarget, 'id' | 'service'>;

type PendingRequest = {
	readonly target: ColdTarget;
	readonly service: ServiceName;
	readonly id: TargetId;
	readonly holder: string;
	/** Takes effect if the holder grants it. */
	readonly permit: WarmUpPermit;
	readonly onGranted: () => void;
};

/** Time after which a holder that has not replied counts as silent, in milliseconds. */
const replyTimeoutMs = 100;
/** Time for which a silent holder is not asked, in milliseconds. */
const silentPauseMs = 2000;
/** Mean time between two requests of one host for permits to one target, for each host of the fleet, in milliseconds. */
const requestIntervalPerHostMs = 4;
/** Targets that were not used for longer are forgotten, in milliseconds; any bucket is full by then. */
const memoryMs = 60_000;
const sweepIntervalMs = 10_000;
const firstNumberRange = 2 ** 30;

/** Gives permits to this host and to others, and asks others for permits. */
export class WarmUpLimiter {
	readonly #options: WarmUpLimiterOptions;
	readonly #targets = new Map<TargetId, ColdTarget>();
	readonly #pending = new Map<number, PendingRequest>();
	/** When this host may ask for a permit to each target again, on the monotonic clock, in milliseconds. */
	readonly #askAtMs = new Map<TargetId, number>();
	#lastRequestNumber: number;
	#sweptAtMs = 0;

	/**
	 * @param options - This host, the others and the limits.
	 */
	constructor(options: WarmUpLimiterOptions) {
		this.#options = options;
		// A random start keeps replies to the previous run of this host apart.
		this.#lastRequestNumber = Math.floor(options.random() * firstNumberRange);
	}

	/**
	 * Makes the gate of a target.
	 *
	 * @param target - The target.
	 * @returns The gate, by which this host takes part in the limit.
	 */
	makeGate(target: LimitedTarget): WarmUpGate {
		const {clock} = this.#options;
		return {
			isOpen: () => this.#getTarget(target).hasPermit,
			take: () => this.#take(target),
			giveBack: (permit) => {
				this.#getTarget(target).add(permit);
			},
			confirm: (permit) =>
				(permit !== undefined && isUsable(permit, clock)) ||
				this.#take(target) !== undefined,
			request: (onGranted) => {
				this.#request(target, onGranted);
			},
			getWaitMs: () => this.#getTarget(target).getWaitMs(),
		};
	}

	/**
	 * Handles a message of another host.
	 *
	 * @param message - The message.
	 * @param sender - The address of the other host.
	 */
	receive(message: WarmUpMessage, sender: string): void {
		if (message.method === 'warm-up-permit') {
			this.#answer(message, sender);
		} else {
			this.#addReply(message, sender);
		}
	}

	#take({service, id}: LimitedTarget): WarmUpPermit | undefined {
		const target = this.#getTarget({service, id});
		const isOwn = target.permitCount === 0;
		const permit = target.take();
		if (permit !== undefined) {
			this.#record(target, {service, id}, isOwn ? 'own' : 'borrowed');
		}

		return permit;
	}

	#request({service, id}: LimitedTarget, onGranted: () => void): void {
		const {clock, random, getHosts, send} = this.#options;
		const nowMs = clock.monotonicMs();
		if (nowMs < (this.#askAtMs.get(id) ?? 0)) {
			return;
		}

		const target = this.#getTarget({service, id});
		const holder = target.chooseHolder();
		if (holder === undefined) {
			return;
		}

		const intervalMs = requestIntervalPerHostMs * (getHosts().length + 1);
		this.#askAtMs.set(id, nowMs + intervalMs * (0.5 + random()));
		this.#lastRequestNumber++;
		const requestNumber = this.#lastRequestNumber;
		this.#pending.set(requestNumber, {
			target,
			service,
			id,
			holder,
			permit: makeWarmUpPermit(clock),
			onGranted,
		});
		clock.schedule(replyTimeoutMs, () => {
			if (this.#pending.delete(requestNumber)) {
				target.addRefusal(holder, silentPauseMs);
				this.#record(target, {service, id}, 'unanswered', holder);
			}
		});
		send(holder, {
			method: 'warm-up-permit',
			requestNumber,
			service,
			target: id,
		});
	}

	#answer(
		{requestNumber, service, target: id}: PermitRequest,
		sender: string,
	): void {
		const {getPerSecond, send} = this.#options;
		const reply = {method: 'warm-up-permit-reply', requestNumber} as const;
		if (getPerSecond(service) === undefined) {
			send(sender, {...reply, isGranted: false, retryAfterMs: replyTimeoutMs});
			return;
		}

		const target = this.#getTarget({service, id});
		const isGranted = target.grant() !== undefined;
		if (isGranted) {
			this.#record(target, {service, id}, 'granted', sender);
		}

		const retryAfterMs = isGranted ? 0 : target.getRetryAfterMs();
		send(sender, {...reply, isGranted, retryAfterMs});
	}

	#addReply(
		{requestNumber, isGranted, retryAfterMs}: PermitReply,
		sender: string,
	): void {
		const pending = this.#pending.get(requestNumber);
		if (pending?.holder !== sender) {
			return;
		}

		this.#pending.delete(requestNumber);
		const {target, permit, onGranted} = pending;
		if (!isGranted) {
			target.addRefusal(sender, retryAfterMs);
			this.#record(target, pending, 'refused', sender);
		} else if (isUsable(permit, this.#options.clock)) {
			target.add(permit);
			// Where few hosts have callers, they get all that the target bears.
			this.#askAtMs.delete(pending.id);
			onGranted();
		}
	}

	#getTarget({service, id}: LimitedTarget): ColdTarget {
		const existing = this.#targets.get(id);
		if (existing !== undefined) {
			return existing;
		}

		this.#sweep();
		const target = new ColdTarget({...this.#options, service, id});
		this.#targets.set(id, target);
		return target;
	}

	#sweep(): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#sweptAtMs < sweepIntervalMs) {
			return;
		}

		this.#sweptAtMs = nowMs;
		for (const [id, {usedAtMs}] of this.#targets) {
			if (nowMs - usedAtMs > memoryMs) {
				this.#targets.delete(id);
				this.#askAtMs.delete(id);
			}
		}
	}

	#record(
		target: ColdTarget,
		{service, id}: LimitedTarget,
		result: 'own' | 'borrowed' | 'granted' | 'refused' | 'unanswered',
		host?: string,
	): void {
		const {log, metrics} = this.#options;
		const {perSecond, holderCount, ownPerSecond} = target.getPart();
		metrics.recordWarmUpPermit(service, result, {perSecond, ownPerSecond});
		log.write('warm-up permit', {
			service,
			target: id,
			result,
			host,
			perSecond,
			holders: holderCount,
			ownPerSecond,
		});
	}
}
