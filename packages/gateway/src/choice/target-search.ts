/** Looks for a target for one request: which targets are probed, and in which order. */

import type {Clock, DataCentreId, ServiceName} from '@bilberryscale/core';
import type {TargetRegistry} from '../targets/target-registry.js';
import type {TargetState} from '../targets/target-state.js';
import {getLatestStartMs} from './admission.js';
import {isEligible, type PickRequest} from './pick-request.js';
import type {OpenSides, Spillover} from './spillover.js';
import type {ProbeScope, TargetProber} from './target-prober.js';

/** The targets in the data centre of this host, those in others, or both. */
export type TargetSide = 'near' | 'far' | 'any';

/** The dependencies of searches. */
export type TargetSearchOptions = {
	readonly clock: Clock;
	readonly registry: Pick<TargetRegistry, 'getOpenTargets' | 'pathMonitor'>;
	readonly prober: Pick<TargetProber, 'probe'>;
	readonly spillover: Spillover;
	/** The data centre of this host. */
	readonly dataCentre: DataCentreId;
	/** Checks whether the plan calls for capacity management of a service; otherwise far targets are probed as soon as near ones don't suffice. */
	readonly hasCapacityManagement: (service: ServiceName) => boolean;
	/** Called when a request is sent to a far target. */
	readonly onFarSend: (service: ServiceName) => void;
};

/** Checks whether a target of one side is known that the request would take without a wait. */
export type AcceptanceCheck = (side: TargetSide) => boolean;

/** The maximum number of targets probed beyond the subset of this host, far ones only without capacity management. */
const nearCount = 8;
/** The scopes probed in turn without capacity management. */
const plainScopes: readonly ProbeScope[] = ['subset', 'near', 'any-far'];
/** The maximum number of far targets probed at once; each probe of them costs bytes between data centres. */
const farCount = 3;
/** The number of targets probed again while a request waits. */
const recheckCount = 3;

/** Looks for a target for one request and tells the spillover what it finds. */
export class TargetSearch {
	/** The number of targets probed for the request. */
	probedCount = 0;
	readonly #options: TargetSearchOptions;
	readonly #request: PickRequest;
	readonly #isAcceptable: AcceptanceCheck;
	readonly #startedAtMs: number;
	#farLookCount = 0;
	/** Whether the request has found no acceptable near target. */
	#wasNearShort = false;

	/**
	 * @param options - The dependencies.
	 * @param request - The request that needs a target.
	 * @param isAcceptable - Checks the targets known so far.
	 */
	constructor(
		options: TargetSearchOptions,
		request: PickRequest,
		isAcceptable: AcceptanceCheck,
	) {
		this.#options = options;
		this.#request = request;
		this.#isAcceptable = isAcceptable;
		this.#startedAtMs = options.clock.monotonicMs();
	}

	/** Probes targets until an acceptable one is known or no further probes are worth their cost. */
	async run(): Promise<void> {
		if (!this.#hasCapacityManagement) {
			await this.#runPlain();
			return;
		}

		const sides = this.#getOpenSides();
		const order = this.#options.spillover.takeOrder(
			this.#request.service,
			sides,
		);
		if (order === 'far-first') {
			this.#watchNear(sides);
			if (await this.#lookFar('far')) {
				return;
			}
		}

		if (sides.hasNear) {
			await this.#lookNear(['subset', 'near']);
			if (this.#isAcceptable('any')) {
				return;
			}

			this.#wasNearShort = this.#isFirstSend;
		}

		if (order === 'near-only' || this.#isPathLost) {
			return;
		}

		if (this.#shouldLookFar(sides)) {
			await this.#lookFar(order === 'far-first' ? 'other-far' : 'far');
		}
	}

	/** Probes targets again while the request waits: near ones, and far ones if a near one would come too late. */
	async recheck(): Promise<void> {
		if (!this.#hasCapacityManagement) {
			await this.#probe('any', recheckCount);
			return;
		}

		const sides = this.#getOpenSides();
		const looks: Array<Promise<unknown>> = [];
		if (sides.hasNear) {
			looks.push(this.#probe('any-near', recheckCount));
		}

		if (sides.hasFar && this.#shouldLookFar(sides)) {
			looks.push(
				this.#lookFar(this.#farLookCount % 2 === 0 ? 'far' : 'other-far'),
			);
		}

		await Promise.all(looks);
	}

	/**
	 * Records the end of the search.
	 *
	 * @param state - The picked target; undefined if the request is refused.
	 */
	end(state: TargetState | undefined): void {
		const {clock, spillover, onFarSend} = this.#options;
		const {service} = this.#request;
		if (state !== undefined && !this.#isNear(state)) {
			onFarSend(service);
			return;
		}

		if (this.#wasNearShort) {
			const waitedMs = clock.monotonicMs() - this.#startedAtMs;
			spillover.addNearWait(service, waitedMs);
		}
	}

	get #hasCapacityManagement(): boolean {
		return this.#options.hasCapacityManagement(this.#request.service);
	}

	/** Whether what the request finds holds for new requests too: a retry may go to fewer targets. */
	get #isFirstSend(): boolean {
		const {allowedTargets, triedTargets} = this.#request;
		return allowedTargets === undefined && triedTargets.size === 0;
	}

	get #isPathLost(): boolean {
		return (
			this.#request.endsOutOfReach && this.#options.registry.pathMonitor.isLost
		);
	}

	async #runPlain(): Promise<void> {
		for (const scope of plainScopes) {
			await this.#probe(scope, nearCount);
			if (this.#isAcceptable('any') || this.#isPathLost) {
				return;
			}
		}
	}

	#shouldLookFar({hasNear}: OpenSides): boolean {
		const {clock, spillover} = this.#options;
		return spillover.shouldLookFar(this.#request.service, {
			hasNear,
			slackMs: getLatestStartMs(this.#request) - clock.monotonicMs(),
			farLookCount: this.#farLookCount,
		});
	}

	/** Looks at the near side beside a far look, without a wait, so that its recovery is noticed. */
	#watchNear({hasNear}: OpenSides): void {
		if (
			hasNear &&
			this.#options.spillover.takeNearLook(this.#request.service)
		) {
			void this.#lookNear(['subset']);
		}
	}

	async #lookNear(scopes: readonly ProbeScope[]): Promise<void> {
		const {clock, spillover} = this.#options;
		const startedAtMs = clock.monotonicMs();
		let isAcceptable = false;
		let probedCount = 0;
		for (const scope of scopes) {
			probedCount += await this.#probe(scope, nearCount);
			isAcceptable = this.#isAcceptable('near');
			if (isAcceptable || this.#isPathLost) {
				break;
			}
		}

		if (!this.#isFirstSend || this.#isPathLost) {
			return;
		}

		// A look that has joined the round of another request leaves it to that one to tell silence.
		const hasAnswer =
			probedCount === 0 ||
			this.#getTargets('near').some(
				({lastContactAtMs}) => lastContactAtMs >= startedAtMs,
			);
		spillover.addNearLook(this.#request.service, {isAcceptable, hasAnswer});
	}

	async #lookFar(scope: 'far' | 'other-far'): Promise<boolean> {
		const {clock, spillover} = this.#options;
		const startedAtMs = clock.monotonicMs();
		this.#farLookCount++;
		const probedCount = await this.#probe(scope, farCount);
		// Another request's round has started earlier, so it gives no round-trip time.
		const roundTripMs =
			probedCount === 0 ? undefined : this.#getRoundTripMs(startedAtMs);
		if (this.#isFirstSend) {
			const isAcceptable = this.#isAcceptable('far');
			const look = {isAcceptable, roundTripMs};
			spillover.addFarLook(this.#request.service, look);
		}

		return this.#isAcceptable('any');
	}

	/** Gets the shortest time from the start of a round to a far target's response; undefined without one. */
	#getRoundTripMs(startedAtMs: number): number | undefined {
		const answeredAtMs = this.#getTargets('far')
			.map(({report}) => report?.receivedAtMs ?? Number.NEGATIVE_INFINITY)
			.filter((atMs) => atMs > startedAtMs);
		return answeredAtMs.length === 0
			? undefined
			: Math.min(...answeredAtMs) - startedAtMs;
	}

	async #probe(scope: ProbeScope, maxCount: number): Promise<number> {
		const count = await this.#options.prober.probe(
			this.#request,
			maxCount,
			scope,
		);
		this.probedCount += count;
		return count;
	}

	#getOpenSides(): OpenSides {
		const open = this.#getTargets('any');
		const nearCountOpen = open.filter((state) => this.#isNear(state)).length;
		return {
			hasNear: nearCountOpen > 0,
			hasFar: nearCountOpen < open.length,
		};
	}

	#getTargets(side: TargetSide): readonly TargetState[] {
		return this.#options.registry
			.getOpenTargets(this.#request.service)
			.filter(
				(state) =>
					isEligible(this.#request, state.registration.id) &&
					(side === 'any' || this.#isNear(state) === (side === 'near')),
			);
	}

	#isNear({registration}: TargetState): boolean {
		return registration.dataCentre === this.#options.dataCentre;
	}
}
