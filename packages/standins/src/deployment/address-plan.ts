/** The loopback addresses of one run: 127.<run>.<data centre>.<host>. */

import net from 'node:net';
import type {Deployment} from './deployment.js';

/** Where a process of a run listens. */
export type Endpoint = {
	readonly address: string;
	readonly port: number;
};

/** A target's place in a run. */
export type TargetPlace = Endpoint & {
	readonly id: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly dataCentreIndex: number;
};

/** An entry host's place in a run. */
export type EntryPlace = {
	readonly host: string;
	readonly dataCentre: string;
	readonly address: string;
};

/** The ports that every run uses; runs differ in their addresses. */
export const ports = {
	callers: 8080,
	operators: 8081,
	peers: 8082,
	platform: 8090,
	targets: 8100,
	control: 8091,
	claim: 8099,
	metrics: 8125,
} as const;

const minRun = 1;
const maxRun = 250;
const firstEntryOctet = 10;
const firstTargetOctet = 100;

/** The addresses that belong to one run on this machine. */
export class AddressPlan {
	readonly run: number;
	readonly #claim: net.Server;

	private constructor(run: number, claim: net.Server) {
		this.run = run;
		this.#claim = claim;
	}

	/**
	 * Claims addresses that no other run on this machine has.
	 *
	 * @returns The plan.
	 * @throws Error if all are taken.
	 */
	static async claim(): Promise<AddressPlan> {
		for (let run = minRun; run <= maxRun; run++) {
			const claim = await tryListen(`127.${run}.0.1`, ports.claim);
			if (claim !== undefined) {
				return new AddressPlan(run, claim);
			}
		}

		throw new Error(`All ${maxRun} address ranges are taken.`);
	}

	/** Gets the address of the platform's stand-in. */
	get platform(): Endpoint {
		return {address: `127.${this.run}.0.1`, port: ports.platform};
	}

	/** Gets the address at which the targets' stand-in takes orders. */
	get control(): Endpoint {
		return {address: `127.${this.run}.0.1`, port: ports.control};
	}

	/** Gets the address that the callers' stand-in connects from. */
	get callers(): string {
		return `127.${this.run}.0.2`;
	}

	/**
	 * Gets the place of an entry host.
	 *
	 * @param deployment - The deployment.
	 * @param index - The number of the host, from 0.
	 * @returns The place.
	 */
	getEntry(deployment: Deployment, index: number): EntryPlace {
		const centreIndex = index % deployment.dataCentres.length;
		return {
			host: `entry-${index + 1}`,
			dataCentre: deployment.dataCentres[centreIndex]!,
			address: `127.${this.run}.${centreIndex + 1}.${firstEntryOctet + index}`,
		};
	}

	/**
	 * Gets the places of all targets, spread over the data centres in turn.
	 *
	 * @param deployment - The deployment.
	 * @returns The places.
	 */
	getTargets(deployment: Deployment): TargetPlace[] {
		let index = 0;
		return deployment.services.flatMap((service) =>
			Array.from({length: service.targets}, (_, number) =>
				this.#getTargetLocation(deployment, service.name, number, index++),
			),
		);
	}

	/** Gives the addresses back. */
	release(): void {
		this.#claim.close();
	}

	#getTargetLocation(
		deployment: Deployment,
		service: string,
		number: number,
		index: number,
	): TargetPlace {
		const centreIndex = number % deployment.dataCentres.length;
		return {
			id: `${service}-${number + 1}`,
			service,
			dataCentre: deployment.dataCentres[centreIndex]!,
			dataCentreIndex: centreIndex + 1,
			address: `127.${this.run}.${centreIndex + 1}.${firstTargetOctet + (index % 100)}`,
			port: ports.targets + Math.floor(index / 100),
		};
	}
}

async function tryListen(
	address: string,
	port: number,
): Promise<net.Server | undefined> {
	const server = net.createServer();
	server.unref();
	return new Promise((resolve) => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, address, () => {
			resolve(server);
		});
	});
}
