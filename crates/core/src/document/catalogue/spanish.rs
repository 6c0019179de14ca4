//! Messages in Spanish; `{0}` is the field, `{1}` what was found, `{2}` what is right.

use crate::document::ProblemCode;

pub(super) fn template(code: ProblemCode) -> &'static str {
    match code {
        ProblemCode::MissingFile => "No se puede leer el archivo {1}: {2}",
        ProblemCode::Empty => "El archivo está vacío.",
        ProblemCode::TooLarge => "El archivo tiene {1} bytes; se permiten {2} como máximo.",
        ProblemCode::TooDeep => "Hay listas y objetos anidados a más de {2} niveles.",
        ProblemCode::NotUtf8 => "El byte {1} no es texto UTF-8.",
        ProblemCode::Syntax => "Esto no es JSON: {1}",
        ProblemCode::UnknownField => "Campo desconocido {1}. Campos conocidos aquí: {2}",
        ProblemCode::MissingField => "Falta el campo {1}.",
        ProblemCode::WrongType => "{0} debe ser {2}, no {1}.",
        ProblemCode::WrongUnit => "{1} tiene otra unidad. Escriba {2}",
        ProblemCode::RepeatedField => "El campo {1} aparece dos veces.",
        ProblemCode::BadName => {
            "{1} no es un nombre. Un nombre tiene de 1 a 63 caracteres: a-z, 0-9 y - en el interior."
        }
        ProblemCode::OutOfRange => "{0} es {1}; se permite: {2}.",
        ProblemCode::NotWhole => "{0} es {1}; debe ser un número entero.",
        ProblemCode::UnknownChoice => "{0} es {1}; se permite: {2}.",
        ProblemCode::Zero => "{0} debe ser 1 como mínimo.",
        ProblemCode::TooMany => "{0} tiene {1} elementos; se permiten {2} como máximo.",
        ProblemCode::BadPath => {
            "{1} no es una ruta. Escriba /texto/{3} con a-z, A-Z, 0-9, . _ ~ - en cada parte, y {3} una vez como máximo."
        }
        ProblemCode::DuplicateZone => {
            "La zona de disponibilidad {1} aparece dos veces; la primera en {2}."
        }
        ProblemCode::DuplicateService => "El servicio {1} aparece dos veces; la primera en {2}.",
        ProblemCode::DuplicateRoute => "La ruta {1} aparece dos veces; la primera en {2}.",
        ProblemCode::OverlappingRoute => "{1} coincide con las mismas solicitudes que {2}.",
        ProblemCode::ColdAboveSlots => "cold_slots es {1}, más que slots, que es {2}.",
        ProblemCode::KeyMissing => {
            "La ruta {1} necesita {3}: el servicio está dividido por clave o la ruta no es repetible."
        }
        ProblemCode::DeadlineTooShort => {
            "deadline_ms es {1}, menos que latency_ms del objetivo, que es {2}."
        }
        ProblemCode::LeaseTooShort => {
            "lease_ms es {1}; con estos heartbeat_ms y margin_ms debe ser {2} como mínimo."
        }
        ProblemCode::TightObjective => "El objetivo es {1} ms, pero solo la red tarda {2} ms.",
        ProblemCode::SlotsAboveConnections => {
            "slots es {1}, pero solo se aceptan {2} conexiones: quedarán puestos vacíos."
        }
        ProblemCode::FewServers => {
            "Hay {1} servidores para {2} zonas de disponibilidad: alguna zona no tiene ninguno."
        }
        ProblemCode::LoneServer => "Hay un solo servidor: si se pierde, nada responde.",
        ProblemCode::NoBudget => "good_percent es 100: una sola solicitud mala rompe el objetivo.",
        ProblemCode::SlowTakeover => {
            "Tras una pérdida, una clave puede quedar no disponible {1} ms; se desean {2} ms como máximo."
        }
        ProblemCode::FewZones => {
            "Hay {1} zonas de disponibilidad; con menos de {2}, la pérdida de una detiene los cambios de propietario."
        }
        ProblemCode::FewSlices => {
            "Hay {1} divisiones para {2} servidores: algunos no tienen ninguna."
        }
    }
}
