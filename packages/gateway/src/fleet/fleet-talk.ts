/** Hosts tell each other by datagrams who lives and what happened to targets. */

import {createSocket, type Socket} from 'node:dgram';
import type {Clock, RandomSource} from '@bilberryscale/core';
import type {EventLog} from '../records/event-log.js';
import type {TargetLife} from '../plan/registered-target.js';
import {
	decodeMessage,
	encodeMessage,
	type CrashNotice,
	type FleetMessage,
} from './fleet-messages.js';
import type {MemberRecord, Membership} from './membership.js';

/** What the talk works with. */
export type FleetTalkOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly membership: Membership;
	/** The IP number of this host. */
	readonly address: string;
	/** The port of all hosts. */
	readonly port: number;
	/** Gets the IP numbers of some hosts, which may be gone. */
	readonly getSeeds: () => readonly string[];
	readonly onCrash: (notice: CrashNotice) => void;
	readonly onFailure: (life: TargetLife) => void;
};

/** How often a host tells another who lives, in milliseconds. */
const exchangeMs = 1500;
/** How many hosts are named in a datagram, so that it fits into one packet. */
const namedMembers = 8;
/** Part of the exchanges that stay within the data centre. */
const nearShare = 0.9;
/** Part of the exchanges that go to a seed. */
const seedShare = 0.03;
/** Failures are told to so many hosts, all in the data centre: bytes beyond it cost. */
const mostNoticed = 8;
/** Datagrams are lost at times; a notice that matters goes out again after this time, in milliseconds. */
const repeatMs = 150;

/** Exchanges members and passes on notices. */
export class FleetTalk {
	readonly #options: FleetTalkOptions;
	#socket: Socket | undefined;
	#stopTimer: () => void = () => undefined;

	/**
	 * @param options - This host and whom to tell.
	 */
	constructor(options: FleetTalkOptions) {
		this.#options = options;
	}

	/** Starts to listen and to tell. */
	async start(): Promise<void> {
		const {address, port, log, getSeeds} = this.#options;
		const socket = createSocket('udp4');
		this.#socket = socket;
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind({address, port}, resolve);
		});
		socket.on('error', (error) => {
			log.warn('datagram failed', {detail: error.message});
		});
		socket.on('message', (datagram, {address: sender}) => {
			this.#take(datagram, sender);
		});
		for (const seed of getSeeds()) {
			this.#sendMembers(seed, true);
		}

		this.#schedule();
	}

	/** Stops listening and telling. */
	stop(): void {
		this.#stopTimer();
		this.#socket?.close();
		this.#socket = undefined;
	}

	/**
	 * Tells all hosts of a target that ended under a request.
	 *
	 * @param notice - The request and the target.
	 */
	tellCrash(notice: CrashNotice): void {
		const message: FleetMessage = {method: 'crash', notice};
		const tell = () => {
			for (const {address} of this.#options.membership.getOthers()) {
				this.#send(address, message);
			}
		};

		tell();
		this.#options.clock.schedule(repeatMs, tell);
	}

	/**
	 * Tells other hosts that a target failed a request.
	 *
	 * @param life - The target.
	 */
	tellFailure(life: TargetLife): void {
		const {membership} = this.#options;
		for (const {address} of membership.getRecords(mostNoticed + 1).slice(1)) {
			this.#send(address, {method: 'failure', life});
		}
	}

	#schedule(): void {
		const {clock, random} = this.#options;
		const delayMs = exchangeMs * (0.8 + 0.4 * random());
		this.#stopTimer = clock.schedule(delayMs, () => {
			this.#exchange();
			this.#schedule();
		});
	}

	#exchange(): void {
		const {membership, address} = this.#options;
		membership.beat();
		const partner = this.#choosePartner();
		if (partner !== undefined && partner !== address) {
			this.#sendMembers(partner, true);
		}
	}

	#choosePartner(): string | undefined {
		const {membership, random, getSeeds, address} = this.#options;
		const others = membership.getOthers();
		const own = membership.getRecords(1)[0]!;
		if (others.length === 0 || random() < seedShare) {
			return this.#getRandom(getSeeds().filter((seed) => seed !== address));
		}

		const near = others.filter(({dataCentre}) => dataCentre === own.dataCentre);
		const pool = near.length > 0 && random() < nearShare ? near : others;
		return this.#getRandom(pool)?.address;
	}

	#getRandom<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this.#options.random() * items.length)];
	}

	#sendMembers(address: string, wantsReply: boolean): void {
		const members = this.#options.membership.getRecords(namedMembers);
		this.#send(address, {method: 'members', members, wantsReply});
	}

	#take(datagram: Uint8Array, sender: string): void {
		const {membership, onCrash, onFailure, log} = this.#options;
		const message = decodeMessage(datagram);
		switch (message?.method) {
			case 'members': {
				this.#noteNew(membership.add(message.members));
				if (message.wantsReply) {
					this.#sendMembers(sender, false);
				}

				break;
			}

			case 'crash': {
				onCrash(message.notice);
				break;
			}

			case 'failure': {
				onFailure(message.life);
				break;
			}

			case undefined: {
				log.write('datagram not understood', {sender});
			}
		}
	}

	#noteNew(members: readonly MemberRecord[]): void {
		for (const {address, dataCentre, incarnation} of members) {
			this.#options.log.write('host heard of', {
				address,
				dataCentre,
				incarnation,
			});
		}
	}

	#send(address: string, message: FleetMessage): void {
		const {port, log} = this.#options;
		this.#socket?.send(encodeMessage(message), port, address, (error) => {
			if (error) {
				log.write('datagram failed', {address, detail: error.message});
			}
		});
	}
}
