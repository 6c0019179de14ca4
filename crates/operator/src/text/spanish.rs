//! Messages in Spanish.

use super::MessageCode;

pub(super) fn template(code: MessageCode) -> &'static str {
    match code {
        MessageCode::Accepted => "{0}: aceptada como versión {1} en {2}.",
        MessageCode::LostRace => {
            "Rechazada: otra orden tomó antes la versión {0} en {1}. Nada de lo suyo está en vigor."
        }
        MessageCode::Winner => "La versión {0} es: {1}, de {2}. Motivo: {3}",
        MessageCode::NothingToDo => "{0}: ya es así en {1}; no hay nada que hacer.",
        MessageCode::Unknown => {
            "Desconocido: la orden puede estar en el registro o no. Ejecute otra vez la misma orden: no puede contar dos veces. Entrada {0}"
        }
        MessageCode::LogDown => {
            "El servicio de registro {0} no responde. No se hizo nada; puede ejecutar esto otra vez sin riesgo."
        }
        MessageCode::BaseNeeded => {
            "En {1} está en vigor la versión {0}. Revísela y después indique --base {0}."
        }
        MessageCode::NotInTrial => "Rechazada: el documento {0} no fue aceptado en trial.",
        MessageCode::NotInHistory => "Rechazada: {0} no está en el historial de {1}.",
        MessageCode::UnknownZone => {
            "Rechazada: no existe la zona de disponibilidad {0}. Existen: {1}"
        }
        MessageCode::NothingInForce => "Todavía no hay nada en vigor en {0}.",
        MessageCode::RecordsMissed => {
            "El registro ya no dice qué está en vigor y no contiene ninguna instantánea. No se hizo nada."
        }
        MessageCode::DocumentRight => {
            "{0} es correcto. Resumen criptográfico {1}. Advertencias: {2}"
        }
        MessageCode::DocumentWrong => {
            "{0} se rechaza. Errores: {1}. Advertencias: {2}. Sin listar: {3}"
        }
        MessageCode::Everywhere => {
            "La versión {0} está en vigor en todos los nodos conocidos ({1})."
        }
        MessageCode::NotEverywhere => "La versión {0} no está en vigor en {1} de {2} nodos.",
        MessageCode::Waiting => "Esperando: versión {0} en {1} de {2} nodos.",
        MessageCode::LagUnreachable => "{0}: no responde.",
        MessageCode::LagNoLog => "{0}: tiene la versión {1}; no alcanza el servicio de registro.",
        MessageCode::LagBehind => "{0}: tiene la versión {1}; todavía está leyendo.",
        MessageCode::NodeNeeded => {
            "Indique la dirección de administración de un nodo: --node http://IP:PORT"
        }
        MessageCode::NodeDown => "El nodo {0} no da respuesta: {1}",
        MessageCode::KeyOwned => {
            "La clave {0} de {1} está en la división {2}, del nodo {3} con el cercado {4}."
        }
        MessageCode::KeyUnowned => {
            "La clave {0} de {1} está en la división {2}; la tabla no nombra ahora a ningún nodo."
        }
        MessageCode::NothingFound => "Ningún nodo recuerda nada sobre {0}.",
        MessageCode::UnknownService => "No existe el servicio {0}. Existen: {1}",
        MessageCode::Same => "No hay diferencias.",
        MessageCode::RejectedOther => "Rechazada: {0}",
        MessageCode::UnknownDigest => {
            "{0} no identifica un solo documento. Indique más cifras del resumen."
        }
        MessageCode::KeyUnsure => {
            "La clave {0} de {1} está en la división {2}; la tabla nombra a {3}, que no lo confirma."
        }
        MessageCode::ForeignDocument => {
            "El documento describe el entorno {0}; la configuración, {1}. No se hizo nada."
        }
        MessageCode::BadName => {
            "{0} no es un nombre. Un nombre tiene de 1 a 63 caracteres: a-z, 0-9 y - en el interior."
        }
        MessageCode::FewServers => {
            "{0}: se conocen {1} de {2} servidores; los demás no tienen un nodo que pueda seguir."
        }
    }
}
