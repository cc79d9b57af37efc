/** Gossip between hosts over UDP: membership, crashes and limits of targets, failed requests, and rate limits of client accounts. */

import {createSocket, type Socket} from 'node:dgram';
import type {Clock, DataCentreId, RandomSource} from '@bilberryscale/core';
import {
	isAllotmentMessage,
	type AllotmentMessage,
} from '../accounts/allotment-message.js';
import type {EventLog} from '../records/event-log.js';
import {isLoanMessage, type LoanMessage} from '../limits/loan-message.js';
import type {TargetIncarnation} from '../plan/registered-target.js';
import type {CapacityRecord} from '../capacity/capacity-record.js';
import type {LimitNotice} from '../targets/limit-notice.js';
import {
	isWarmUpMessage,
	type WarmUpMessage,
} from '../warm-up/warm-up-message.js';
import {
	decodeMessage,
	encodeMessage,
	type CrashNotice,
	type GossipMessage,
} from './gossip-message.js';
import type {MemberRecord, Membership} from './membership.js';

/** A message about a limit that all hosts share. */
export type SharedLimitMessage = AllotmentMessage | LoanMessage | WarmUpMessage;

/** The membership to exchange, the socket's address and the handlers of notices. */
export type GossipOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: EventLog;
	readonly membership: Membership;
	/** The IP address of this host. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	/** The UDP port, the same on all hosts. */
	readonly port: number;
	/** Gets the IP addresses of the seed hosts; some of them may no longer exist. */
	readonly getSeeds: () => readonly string[];
	readonly onCrash: (notice: CrashNotice) => void;
	readonly onFailure: (incarnation: TargetIncarnation) => void;
	readonly onLimit: (notice: LimitNotice) => void;
	readonly onAllotment: (message: AllotmentMessage, sender: string) => void;
	readonly onLoan: (message: LoanMessage, sender: string) => void;
	readonly onWarmUp: (message: WarmUpMessage, sender: string) => void;
	/** Gets the estimates that are sent along with members. */
	readonly getCapacity: () => readonly CapacityRecord[];
	readonly onCapacity: (records: readonly CapacityRecord[]) => void;
};

/** Mean interval between exchanges of members with another host, in milliseconds. */
const exchangeIntervalMs = 1500;
/** Number of random members in a datagram, which fits into one packet with the first hosts of all data centres. */
const randomMembersPerMessage = 8;
/** Share of the exchanges that stay within the data centre. */
const sameDataCentreShare = 0.9;
/** Share of the exchanges that go to a seed. */
const seedShare = 0.03;
/** Maximum number of hosts that get a failure notice; it is limited because traffic between data centres is costly. */
const maxFailureRecipients = 8;
/** Notices to all hosts are sent a second time after this delay, in milliseconds, since datagrams can be lost. */
const broadcastRepeatDelayMs = 150;

/** Exchanges members with other hosts and sends and receives notices. */
export class Gossip {
	readonly #options: GossipOptions;
	#socket: Socket | undefined;
	#cancelTimer: () => void = () => undefined;

	/**
	 * @param options - This host, its membership and the handlers of notices.
	 */
	constructor(options: GossipOptions) {
		this.#options = options;
	}

	/** Binds the socket, contacts the seeds and starts the periodic exchanges. */
	async start(): Promise<void> {
		const {log, getSeeds} = this.#options;
		const socket = await this.#bind();
		this.#socket = socket;
		socket.on('error', (socketError) => {
			log.warn('datagram failed', {detail: socketError.message});
		});
		socket.on('message', (datagram, {address: sender}) => {
			this.#receiveSafely(datagram, sender);
		});
		for (const seed of getSeeds()) {
			this.#sendMembers(seed, true);
		}

		this.#scheduleExchange();
	}

	async #bind(): Promise<Socket> {
		const {address, port} = this.#options;
		const socket = createSocket('udp4');
		await new Promise<void>((resolve, reject) => {
			const onError = (bindError: Error) => {
				socket.close();
				reject(bindError);
			};

			socket.once('error', onError);
			socket.bind({address, port}, () => {
				socket.off('error', onError);
				resolve();
			});
		});
		return socket;
	}

	/** Stops the exchanges and closes the socket. */
	stop(): void {
		this.#cancelTimer();
		this.#socket?.close();
		this.#socket = undefined;
	}

	/**
	 * Notifies all live hosts that a target crashed while it ran a request.
	 *
	 * @param notice - The signature of the request and the incarnation of the target.
	 */
	broadcastCrash(notice: CrashNotice): void {
		this.#broadcast({method: 'crash', notice});
	}

	/**
	 * Tells one host of a target that crashed while it ran a request.
	 *
	 * @param address - The IP address of the host.
	 * @param notice - The signature of the request and the incarnation of the target.
	 */
	sendCrash(address: string, notice: CrashNotice): void {
		this.#send(address, {method: 'crash', notice});
	}

	/**
	 * Notifies all live hosts that a target has named a limit or has lifted it.
	 *
	 * @param notice - The incarnation of the target and its limit.
	 */
	broadcastLimit(notice: LimitNotice): void {
		this.#broadcast({method: 'limit', notice});
	}

	/**
	 * Notifies some other hosts that a target failed a request.
	 *
	 * @param incarnation - The incarnation of the target.
	 */
	sendFailure(incarnation: TargetIncarnation): void {
		const {membership} = this.#options;
		for (const {address} of membership.samplePeers(maxFailureRecipients)) {
			this.#send(address, {method: 'failure', incarnation});
		}
	}

	/**
	 * Sends a message about limits that all hosts share to one host.
	 *
	 * @param address - The IP address of the host.
	 * @param message - The message.
	 */
	sendTo(address: string, message: SharedLimitMessage): void {
		this.#send(address, message);
	}

	#broadcast(message: GossipMessage): void {
		const send = () => {
			for (const {address} of this.#options.membership.getLivePeers()) {
				this.#send(address, message);
			}
		};

		send();
		this.#options.clock.schedule(broadcastRepeatDelayMs, send);
	}

	#scheduleExchange(): void {
		const {clock, random} = this.#options;
		const delayMs = exchangeIntervalMs * (0.8 + 0.4 * random());
		this.#cancelTimer = clock.schedule(delayMs, () => {
			this.#exchangeMembers();
			this.#scheduleExchange();
		});
	}

	#exchangeMembers(): void {
		const {membership, address} = this.#options;
		membership.advanceHeartbeat();
		const partner = this.#choosePartner();
		if (partner !== undefined && partner !== address) {
			this.#sendMembers(partner, true);
		}
	}

	#choosePartner(): string | undefined {
		const {membership, random, getSeeds, address, dataCentre} = this.#options;
		const peers = membership.getLivePeers();
		if (peers.length === 0 || random() < seedShare) {
			return this.#pickRandom(getSeeds().filter((seed) => seed !== address));
		}

		const sameDataCentrePeers = peers.filter(
			(peer) => peer.dataCentre === dataCentre,
		);
		const candidates =
			sameDataCentrePeers.length > 0 && random() < sameDataCentreShare
				? sameDataCentrePeers
				: peers;
		return this.#pickRandom(candidates)?.address;
	}

	#pickRandom<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this.#options.random() * items.length)];
	}

	#sendMembers(address: string, wantsReply: boolean): void {
		const members = this.#options.membership.sampleRecords(
			randomMembersPerMessage,
		);
		const capacity = this.#options.getCapacity();
		this.#send(address, {method: 'members', members, wantsReply, capacity});
	}

	/** Receives a datagram, of which none may end the process, whoever has sent it. */
	#receiveSafely(datagram: Uint8Array, sender: string): void {
		try {
			this.#receive(datagram, sender);
		} catch (error) {
			this.#options.log.warn('datagram failed', {
				sender,
				detail: (error as Error).stack,
			});
		}
	}

	#receive(datagram: Uint8Array, sender: string): void {
		const {membership, onCrash, onFailure, onLimit, log} = this.#options;
		const {onAllotment, onLoan, onWarmUp} = this.#options;
		const message = decodeMessage(datagram);
		if (message !== undefined && isAllotmentMessage(message)) {
			membership.recordResponse(sender);
			onAllotment(message, sender);
			return;
		}

		if (message !== undefined && isLoanMessage(message)) {
			membership.recordResponse(sender);
			onLoan(message, sender);
			return;
		}

		if (message !== undefined && isWarmUpMessage(message)) {
			membership.recordResponse(sender);
			onWarmUp(message, sender);
			return;
		}

		switch (message?.method) {
			case 'members': {
				this.#logNewMembers(membership.add(message.members));
				this.#options.onCapacity(message.capacity ?? []);
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
				onFailure(message.incarnation);
				break;
			}

			case 'limit': {
				onLimit(message.notice);
				break;
			}

			case undefined: {
				log.write('invalid datagram received', {sender});
			}
		}
	}

	#logNewMembers(members: readonly MemberRecord[]): void {
		for (const {address, dataCentre, incarnation} of members) {
			this.#options.log.write('host discovered', {
				address,
				dataCentre,
				incarnation,
			});
		}
	}

	#send(address: string, message: GossipMessage): void {
		const {port, log} = this.#options;
		this.#socket?.send(encodeMessage(message), port, address, (sendError) => {
			if (sendError) {
				log.write('datagram failed', {address, detail: sendError.message});
			}
		});
	}
}
