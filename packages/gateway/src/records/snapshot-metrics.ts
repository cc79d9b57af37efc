/** Prometheus metrics of the published knowledge: reads, its age and items that cannot be decoded. */

import {Counter, Histogram, type Registry} from 'prom-client';

/** Upper bounds of the age buckets, in seconds. */
const ageBucketsSeconds = [
	0.1, 0.25, 0.5, 0.6, 0.7, 0.8, 1, 1.25, 1.5, 2, 3, 5, 10, 30,
];
const msPerSecond = 1000;

/** Registers and updates the metrics of the published knowledge. */
export class SnapshotMetrics {
	readonly #reads: Counter;
	readonly #storeEras: Counter;
	readonly #age: Histogram;
	readonly #unreadableItems: Counter;

	/**
	 * @param registry - The registry that exports the metrics.
	 */
	constructor(registry: Registry) {
		const registers = [registry];
		this.#reads = new Counter({
			name: 'bilberryscale_platform_reads_total',
			help: 'Reads of published knowledge by source and outcome',
			labelNames: ['source', 'outcome'],
			registers,
		});
		this.#storeEras = new Counter({
			name: 'bilberryscale_store_eras_total',
			help: 'Eras of the store that were seen; it starts one when it comes back from an older copy',
			registers,
		});
		this.#age = new Histogram({
			name: 'bilberryscale_knowledge_age_seconds',
			help: 'Age that the knowledge in force had reached when a read confirmed it again',
			buckets: ageBucketsSeconds,
			registers,
		});
		this.#unreadableItems = new Counter({
			name: 'bilberryscale_unreadable_items_total',
			help: 'Versions of published items that could not be decoded, so that the former version stays in force',
			registers,
		});
	}

	/**
	 * Records a read of the published snapshot or its changes.
	 *
	 * @param source - The kind of source that was read.
	 * @param outcome - How it ended.
	 */
	recordRead(source: string, outcome: string): void {
		this.#reads.inc({source, outcome});
	}

	/** Records that the store has started a new era. */
	recordStoreEra(): void {
		this.#storeEras.inc();
	}

	/**
	 * Records that a read has confirmed the knowledge in force.
	 *
	 * @param ageMs - The age that it had reached just before, in milliseconds.
	 */
	recordConfirmation(ageMs: number): void {
		this.#age.observe(ageMs / msPerSecond);
	}

	/** Records an item that could not be decoded. */
	recordUnreadableItem(): void {
		this.#unreadableItems.inc();
	}
}
