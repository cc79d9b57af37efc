/** Marks a primitive type so that two ids of different things never mix. */

declare const brandKey: unique symbol;

/** A primitive that carries the name of what it identifies. */
export type Branded<Value, Name extends string> = Value & {
	readonly [brandKey]: Name;
};
